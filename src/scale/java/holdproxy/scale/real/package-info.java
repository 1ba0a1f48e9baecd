/**
 * Experiments in real time: proxies in this process and in processes of their own, against stand-ins for discovery
 * and for the cache nodes on loopback.
 */
package holdproxy.scale.real;
