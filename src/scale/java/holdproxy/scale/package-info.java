/**
 * The scale run: a command-line program that measures the proxy at the size of a large fleet. It runs the
 * experiments of a scenario file at every requested combination of sizes and fits least-squares lines to the
 * results. It is separate from the proxy, and none of its classes are packaged in the proxy's jar.
 */
package holdproxy.scale;
