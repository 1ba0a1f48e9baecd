/**
 * The scale run: experiments at sizes beyond the bench's, run over the points of a scenario file, with their
 * least-squares fits. A program of its own beside the proxy; nothing of it is in the proxy's jar.
 */
package holdproxy.scale;
