package org.ragworthook.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Cuts a stream of server-sent events into whole events.
 * <p>
 * An upstream may stop in the middle of an event. Had its first half been passed on, no
 * other upstream could go on after it; a caller would see a broken event. So an event is
 * passed on once its end has come.
 */
public final class SseFrameDecoder {

	private static final int FIRST_CAPACITY = 512;

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

	private byte[] pending = new byte[FIRST_CAPACITY];

	private int length;

	private int scanned;

	private SseFrameDecoder() {
	}

	/**
	 * Returns a splitter at the start of a stream.
	 * @return a new splitter
	 */
	public static SseFrameDecoder start() {
		return new SseFrameDecoder();
	}

	/**
	 * Takes bytes and passes on the events that are whole now.
	 * @param data the bytes, read to their end
	 * @param sink takes each event in order
	 */
	public void feed(ByteBuf data, Sink sink) {
		Objects.requireNonNull(sink, "sink is null");
		int more = data.readableBytes();
		if (this.length + more > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(this.pending.length * 2, this.length + more));
		}
		data.readBytes(this.pending, this.length, more);
		this.length += more;
		int start = 0;
		for (int at = Math.max(this.scanned, 0); at < this.length; at++) {
			if (this.pending[at] == '\n' && endsEvent(start, at)) {
				pass(start, at + 1, sink);
				start = at + 1;
			}
		}
		if (start > 0) {
			System.arraycopy(this.pending, start, this.pending, 0, this.length - start);
			this.length -= start;
		}
		this.scanned = this.length;
	}

	/**
	 * Tells whether a part of an event has come and its end has not.
	 * @return whether bytes are held back
	 */
	public boolean midway() {
		return this.length > 0;
	}

	private boolean endsEvent(int start, int at) {
		if (at - 1 < start) {
			return true;
		}
		if (this.pending[at - 1] == '\n') {
			return true;
		}
		return at - 2 >= start && this.pending[at - 1] == '\r' && this.pending[at - 2] == '\n';
	}

	private void pass(int start, int end, Sink sink) {
		sink.event(Arrays.copyOfRange(this.pending, start, end));
	}

	/**
	 * Reads the id of an event.
	 * @param event the bytes of the event
	 * @return the id, or empty if it has none that is a number
	 */
	public static Optional<Long> id(byte[] event) {
		for (int at = 0; at >= 0; at = nextLine(event, at)) {
			if (startsWith(event, at, ID)) {
				return number(event, at + ID.length);
			}
		}
		return Optional.empty();
	}

	/**
	 * Reads the data of an event.
	 * @param event the bytes of the event
	 * @return its data lines, joined by line feeds, or empty if it has none
	 */
	public static Optional<String> data(byte[] event) {
		StringBuilder text = null;
		for (int at = 0; at >= 0; at = nextLine(event, at)) {
			if (startsWith(event, at, DATA)) {
				int from = at + DATA.length;
				if (from < event.length && event[from] == ' ') {
					from++;
				}
				int to = from;
				while (to < event.length && event[to] != '\n' && event[to] != '\r') {
					to++;
				}
				text = (text != null) ? text.append('\n') : new StringBuilder();
				text.append(new String(event, from, to - from, StandardCharsets.UTF_8));
			}
		}
		return Optional.ofNullable(text).map(StringBuilder::toString);
	}

	private static int nextLine(byte[] event, int at) {
		for (int next = at; next < event.length; next++) {
			if (event[next] == '\n') {
				return (next + 1 < event.length) ? next + 1 : -1;
			}
		}
		return -1;
	}

	private static boolean startsWith(byte[] event, int at, byte[] word) {
		return at + word.length <= event.length && Arrays.equals(event, at, at + word.length, word, 0, word.length);
	}

	private static Optional<Long> number(byte[] event, int from) {
		int at = from;
		while (at < event.length && event[at] == ' ') {
			at++;
		}
		long value = 0;
		int digits = 0;
		for (; at < event.length && event[at] >= '0' && event[at] <= '9'; at++) {
			value = value * 10 + (event[at] - '0');
			digits++;
		}
		return (digits > 0) ? Optional.of(value) : Optional.empty();
	}

	/**
	 * Takes events.
	 */
	@FunctionalInterface
	public interface Sink {

		/**
		 * Takes an event.
		 * @param event its bytes with the empty line that ends it
		 */
		void event(byte[] event);

	}

}
