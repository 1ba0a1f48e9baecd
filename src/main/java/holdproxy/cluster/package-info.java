/**
 * Membership of the proxies of one tier, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", 2002): periodic pings, indirect pings through other
 * members, a suspicion phase before a member is declared dead, incarnation numbers, and updates that are
 * piggybacked on the protocol's messages.
 *
 * <p>The classes are pure state machines without sockets, threads or a clock. Times are in microseconds on a
 * monotonic clock whose readings the caller passes in.
 */
package holdproxy.cluster;
