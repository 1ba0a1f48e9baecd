/**
 * The routing decisions of a proxy in front of a fleet of cache nodes, without any I/O. The package also holds the
 * command line and the host that runs routers for the simulator. Times and durations are in microseconds where neither
 * their names nor their comments state another unit.
 */
package holdproxy;
