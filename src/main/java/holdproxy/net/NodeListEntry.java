package holdproxy.net;

import holdproxy.Router;
import java.net.InetSocketAddress;

/**
 * An entry of a list of cache nodes.
 *
 * @param node the part of the entry that the router needs
 * @param name the node's id in discovery
 * @param address where the node accepts connections; null if the node is deleted and its entry has none
 */
record NodeListEntry(Router.Node node, String name, InetSocketAddress address) {}
