package holdproxy.cluster;

import java.util.List;

/** A message between two members, sent in one datagram. */
public sealed interface Message {
    /** Returns the number of the member that sent the message. */
    int sender();

    /** Returns the sender's incarnation at the time of sending. */
    long incarnation();

    /** Returns the updates piggybacked on the message. */
    List<MemberUpdate> updates();

    /**
     * Asks the receiver for an {@link Ack} with the same sequence number.
     *
     * @param sender the number of the member that sent the message
     * @param incarnation the sender's incarnation
     * @param sequence the sequence number that the answer has to carry
     * @param updates the piggybacked updates
     */
    record Ping(int sender, long incarnation, int sequence, List<MemberUpdate> updates) implements Message {}

    /**
     * Asks the receiver to ping another member and to acknowledge to the sender once that member answers.
     *
     * @param sender the number of the member that sent the message
     * @param incarnation the sender's incarnation
     * @param sequence the sequence number that the forwarded {@link Ack} has to carry
     * @param target the number of the member to ping
     * @param updates the piggybacked updates
     */
    record PingRequest(int sender, long incarnation, int sequence, int target, List<MemberUpdate> updates)
            implements Message {}

    /**
     * Reports that a member has answered a ping.
     *
     * @param sender the number of the member that sent the message
     * @param incarnation the sender's incarnation
     * @param sequence the sequence number of the {@link Ping} or {@link PingRequest} that this answers
     * @param acknowledged the number of the member that answered: the sender itself, or the target of a ping
     *     request that the sender has relayed
     * @param updates the piggybacked updates
     */
    record Ack(int sender, long incarnation, int sequence, int acknowledged, List<MemberUpdate> updates)
            implements Message {}
}
