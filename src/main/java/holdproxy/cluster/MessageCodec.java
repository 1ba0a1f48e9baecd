package holdproxy.cluster;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Messages as datagrams of at most {@link #MAX_BYTES}, big-endian:
 *
 * <pre>
 *  0 magic u8, version u8, type u8, number of updates u8
 *  4 group u32
 *  8 sender u16, incarnation u64, sequence u32, subject u16
 * 24 updates: member u16, state u8, incarnation u64 each
 *    checksum u32: CRC-32C of all before it
 * </pre>
 */
public final class MessageCodec {
    /** The longest datagram that proxies may send one another. */
    public static final int MAX_BYTES = 256;

    /** Members that numbers of 16 bits can name. */
    public static final int MAX_MEMBERS = 1 << 16;

    /** Far above any time in milliseconds, and far enough below overflow to be raised by. */
    static final long MAX_INCARNATION = 1L << 48;

    static final byte VERSION = 1;
    private static final byte MAGIC = 0x48;
    private static final byte PING = 1;
    private static final byte PING_REQUEST = 2;
    private static final byte ACK = 3;
    private static final int HEADER_BYTES = 24;
    private static final int UPDATE_BYTES = 11;
    private static final int CHECKSUM_BYTES = 4;

    /** Updates that fit into one datagram. */
    public static final int MAX_UPDATES = (MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES) / UPDATE_BYTES;

    private final int group;
    private final int members;

    /**
     * @param group a number that all members share and other groups do not
     * @param members how many members there are: numbers from 0 up to it are valid
     */
    public MessageCodec(int group, int members) {
        if (members < 1 || members > MAX_MEMBERS) {
            throw new IllegalArgumentException(members + " members; from 1 to " + MAX_MEMBERS + " may be");
        }
        this.group = group;
        this.members = members;
    }

    /** The message as a new array. */
    public byte[] encode(Message message) {
        List<MemberUpdate> updates = message.updates();
        if (updates.size() > MAX_UPDATES) {
            throw new IllegalArgumentException(updates.size() + " updates; " + MAX_UPDATES + " fit");
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + updates.size() * UPDATE_BYTES + CHECKSUM_BYTES);
        out.put(MAGIC).put(VERSION).put(type(message)).put((byte) updates.size());
        out.putInt(group);
        out.putShort((short) message.sender());
        out.putLong(message.incarnation());
        out.putInt(sequence(message));
        out.putShort((short) subject(message));
        for (MemberUpdate u : updates) {
            out.putShort((short) u.member());
            out.put((byte) u.state().ordinal());
            out.putLong(u.incarnation());
        }
        out.putInt(checksum(out.array(), out.position()));
        return out.array();
    }

    /**
     * Reads one datagram.
     *
     * @throws MalformedMessageException where it is cut, damaged, of another version or group, or names
     *     members or states that do not exist
     */
    public Message decode(byte[] datagram) throws MalformedMessageException {
        check(datagram.length >= HEADER_BYTES + CHECKSUM_BYTES && datagram.length <= MAX_BYTES, "length");
        ByteBuffer in = ByteBuffer.wrap(datagram);
        check(in.get() == MAGIC, "magic");
        check(in.get() == VERSION, "version");
        byte type = in.get();
        int count = Byte.toUnsignedInt(in.get());
        check(datagram.length == HEADER_BYTES + count * UPDATE_BYTES + CHECKSUM_BYTES, "length");
        int checked = datagram.length - CHECKSUM_BYTES;
        check(in.getInt(checked) == checksum(datagram, checked), "checksum");
        check(in.getInt() == group, "group");
        int sender = member(in);
        long incarnation = incarnation(in);
        int sequence = in.getInt();
        int subject = member(in);
        List<MemberUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            updates.add(new MemberUpdate(member(in), state(in), incarnation(in)));
        }
        return switch (type) {
            case PING -> new Message.Ping(sender, incarnation, sequence, updates);
            case PING_REQUEST -> new Message.PingRequest(sender, incarnation, sequence, subject, updates);
            case ACK -> new Message.Ack(sender, incarnation, sequence, subject, updates);
            default -> throw new MalformedMessageException("type");
        };
    }

    private int member(ByteBuffer in) throws MalformedMessageException {
        int member = Short.toUnsignedInt(in.getShort());
        check(member < members, "member");
        return member;
    }

    private static long incarnation(ByteBuffer in) throws MalformedMessageException {
        long incarnation = in.getLong();
        check(incarnation >= 0 && incarnation <= MAX_INCARNATION, "incarnation");
        return incarnation;
    }

    private static MemberState state(ByteBuffer in) throws MalformedMessageException {
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
        if (message instanceof Message.Ping p) {
            return p.sequence();
        }
        return message instanceof Message.PingRequest r ? r.sequence() : ((Message.Ack) message).sequence();
    }

    private static int subject(Message message) {
        if (message instanceof Message.PingRequest r) {
            return r.target();
        }
        return message instanceof Message.Ack a ? a.acknowledged() : message.sender();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void check(boolean holds, String what) throws MalformedMessageException {
        if (!holds) {
            throw new MalformedMessageException(what);
        }
    }
}
