/**
 * Membership of the proxies of one tier, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol", 2002): periodic pings, indirect pings through others,
 * suspicion before a member is declared dead, incarnation numbers, and dissemination by piggyback.
 *
 * <p>Pure state machines: no sockets, no threads, no clock. Times are microseconds on a clock that never goes
 * back and that the caller passes in.
 */
package holdproxy.cluster;
