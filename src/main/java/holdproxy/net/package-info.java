/**
 * The proxy on real sockets: client connections, connections to cache nodes, discovery, and links to other proxies.
 * Connections, datagrams and the calls of the {@link holdproxy.Router}, which makes the routing decisions, are handled
 * on one Netty event loop. Other threads start the proxy, read a changed configuration and wait for a drain to end.
 */
package holdproxy.net;
