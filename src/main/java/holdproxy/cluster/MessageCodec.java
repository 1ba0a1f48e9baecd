package holdproxy.cluster;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes messages as datagrams of at most {@link #MAX_DATAGRAM_BYTES}. Integers are unsigned and
 * big-endian. The first column is the byte offset:
 *
 * <pre>
 *  0 magic u8, version u8, type u8, number of updates u8
 *  4 group u32
 *  8 sender u16, incarnation u64, sequence u32, subject u16
 * 24 for each update: member u16, state u8, incarnation u64
 *    checksum u32: CRC-32C of all preceding bytes
 * </pre>
 *
 * <p>The subject is the target of a ping request, the acknowledged member of an ack, and the sender of a ping.
 */
public final class MessageCodec {
    /** The longest datagram that proxies may send each other, in bytes, without UDP and IP headers. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    /** The largest number of members, limited by the 16 bits of a member number. */
    public static final int MAX_MEMBERS = 1 << 16;

    /**
     * The largest incarnation accepted. It is far above any Unix time in milliseconds, with which members start,
     * and far enough below {@link Long#MAX_VALUE} that a member can still raise it to refute a suspicion.
     */
    static final long MAX_INCARNATION = 1L << 48;

    static final byte VERSION = 1;
    private static final byte MAGIC = 0x48;
    private static final byte PING = 1;
    private static final byte PING_REQUEST = 2;
    private static final byte ACK = 3;
    private static final int HEADER_BYTES = 24;
    private static final int UPDATE_BYTES = 11;
    private static final int CHECKSUM_BYTES = 4;

    /** The largest number of updates that fit into one datagram. */
    public static final int MAX_UPDATES = (MAX_DATAGRAM_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / UPDATE_BYTES;

    private final int group;
    private final int members;

    /**
     * Creates a codec for one group of members.
     *
     * @param group a number that is the same for all members of the group and differs from that of other groups
     * @param members the number of members; valid member numbers are those from 0 to {@code members - 1}
     * @throws IllegalArgumentException if the number of members is not between 1 and {@link #MAX_MEMBERS}
     */
    public MessageCodec(int group, int members) {
        if (members < 1 || members > MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    members + " members configured; the number must be between 1 and " + MAX_MEMBERS + " inclusive");
        }
        this.group = group;
        this.members = members;
    }

    /**
     * Encodes a message into a new array.
     *
     * @throws IllegalArgumentException if the message has more than {@link #MAX_UPDATES} updates
     */
    public byte[] encode(Message message) {
        List<MemberUpdate> updates = message.updates();
        if (updates.size() > MAX_UPDATES) {
            throw new IllegalArgumentException(
                    updates.size() + " updates do not fit into a datagram; at most " + MAX_UPDATES + " do");
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + updates.size() * UPDATE_BYTES + CHECKSUM_BYTES);
        out.put(MAGIC).put(VERSION).put(type(message)).put((byte) updates.size());
        out.putInt(group);
        out.putShort((short) message.sender());
        out.putLong(message.incarnation());
        out.putInt(sequence(message));
        out.putShort((short) subject(message));
        for (MemberUpdate update : updates) {
            out.putShort((short) update.member());
            out.put((byte) update.state().ordinal());
            out.putLong(update.incarnation());
        }
        out.putInt(checksum(out.array(), out.position()));
        return out.array();
    }

    /**
     * Decodes one datagram.
     *
     * @throws MalformedMessageException if the datagram is truncated, damaged, of another version or group, or
     *     contains a message type, member number, state or incarnation that is not valid
     */
    public Message decode(byte[] datagram) throws MalformedMessageException {
        check(datagram.length >= HEADER_BYTES + CHECKSUM_BYTES && datagram.length <= MAX_DATAGRAM_BYTES, "length");
        ByteBuffer in = ByteBuffer.wrap(datagram);
        check(in.get() == MAGIC, "magic");
        check(in.get() == VERSION, "version");
        byte type = in.get();
        int count = Byte.toUnsignedInt(in.get());
        check(datagram.length == HEADER_BYTES + count * UPDATE_BYTES + CHECKSUM_BYTES, "length");
        int checksumOffset = datagram.length - CHECKSUM_BYTES;
        check(in.getInt(checksumOffset) == checksum(datagram, checksumOffset), "checksum");
        check(in.getInt() == group, "group");
        int sender = readMember(in);
        long incarnation = readIncarnation(in);
        int sequence = in.getInt();
        int subject = readMember(in);
        List<MemberUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            updates.add(new MemberUpdate(readMember(in), readState(in), readIncarnation(in)));
        }
        return switch (type) {
            case PING -> new Message.Ping(sender, incarnation, sequence, updates);
            case PING_REQUEST -> new Message.PingRequest(sender, incarnation, sequence, subject, updates);
            case ACK -> new Message.Ack(sender, incarnation, sequence, subject, updates);
            default -> throw new MalformedMessageException("type");
        };
    }

    private int readMember(ByteBuffer in) throws MalformedMessageException {
        int member = Short.toUnsignedInt(in.getShort());
        check(member < members, "member");
        return member;
    }

    private static long readIncarnation(ByteBuffer in) throws MalformedMessageException {
        long incarnation = in.getLong();
        check(incarnation >= 0 && incarnation <= MAX_INCARNATION, "incarnation");
        return incarnation;
    }

    private static MemberState readState(ByteBuffer in) throws MalformedMessageException {
        int ordinal = Byte.toUnsignedInt(in.get());
        check(ordinal < MemberState.values().length, "state");
        return MemberState.values()[ordinal];
    }

    private static byte type(Message message) {
        if (message instanceof Message.Ping) {
            return PING;
        }
        return message instanceof Message.PingRequest ? PING_REQUEST : ACK;
    }

    private static int sequence(Message message) {
        if (message instanceof Message.Ping ping) {
            return ping.sequence();
        }
        return message instanceof Message.PingRequest request ? request.sequence() : ((Message.Ack) message).sequence();
    }

    private static int subject(Message message) {
        if (message instanceof Message.PingRequest request) {
            return request.target();
        }
        return message instanceof Message.Ack ack ? ack.acknowledged() : message.sender();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void check(boolean valid, String failedCheck) throws MalformedMessageException {
        if (!valid) {
            throw new MalformedMessageException(failedCheck);
        }
    }
}
