package org.ragworthook.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Splits a stream of server-sent events into complete events.
 * <p>
 * An upstream may stop in the middle of an event. If a part of the event had been
 * forwarded, no other upstream could continue after it, and the caller would receive a
 * malformed event. An event is therefore passed on only once its end has been received.
 */
public final class SseFrameDecoder {

	private static final String MEDIA_TYPE = "text/event-stream";

	private static final int INITIAL_CAPACITY = 512;

	/** Capacity that is kept for the next events of a stream after a large one. */
	private static final int MAX_RETAINED_CAPACITY = 65_536;

	private static final byte[] ID_FIELD = "id".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] BYTE_ORDER_MARK = "\ufeff".getBytes(StandardCharsets.UTF_8);

	/** Digits of the largest id, such that its value fits a {@code long}. */
	private static final int MAX_ID_DIGITS = 18;

	/** The bytes that are not passed on yet, up to {@link #length}. */
	private byte[] pending = new byte[INITIAL_CAPACITY];

	private int length;

	/** Position up to which {@link #pending} holds no end of an event. */
	private int scanned;

	private SseFrameDecoder() {
	}

	/**
	 * Creates a decoder for a stream.
	 * @return the decoder
	 */
	public static SseFrameDecoder create() {
		return new SseFrameDecoder();
	}

	/**
	 * Returns whether the body of a response is a stream of events.
	 * @param head the head of the response
	 * @return whether it states the media type of event streams
	 */
	public static boolean decodes(HttpMessage head) {
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
		return type != null && type.regionMatches(true, 0, MEDIA_TYPE, 0, MEDIA_TYPE.length());
	}

	/**
	 * Appends bytes of the stream and passes on the events that are now complete.
	 * @param data the bytes, which are read completely
	 * @param sink receives the events in order
	 */
	public void decode(ByteBuf data, Sink sink) {
		Objects.requireNonNull(sink, "sink is null");
		int added = data.readableBytes();
		if (this.length + added > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(this.pending.length * 2, this.length + added));
		}
		data.readBytes(this.pending, this.length, added);
		this.length += added;
		int start = 0;
		for (int at = Math.max(this.scanned, 0); at < this.length; at++) {
			if (this.pending[at] == '\n' && endsEvent(start, at)) {
				passOn(start, at + 1, sink);
				start = at + 1;
			}
		}
		if (start > 0) {
			System.arraycopy(this.pending, start, this.pending, 0, this.length - start);
			this.length -= start;
		}
		if (this.length == 0 && this.pending.length > MAX_RETAINED_CAPACITY) {
			this.pending = new byte[INITIAL_CAPACITY];
		}
		this.scanned = this.length;
	}

	/**
	 * Returns whether the last event is incomplete.
	 * @return whether bytes were received that are not passed on yet
	 */
	public boolean hasPartialEvent() {
		return this.length > 0;
	}

	/**
	 * Returns the memory that the incomplete event takes.
	 * @return the capacity for it in bytes, or 0 if there is none
	 */
	public int heldBytes() {
		return hasPartialEvent() ? this.pending.length : 0;
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

	private void passOn(int start, int end, Sink sink) {
		sink.event(Arrays.copyOfRange(this.pending, start, end));
	}

	/**
	 * Parses the id of an event.
	 * @param event the bytes of the event
	 * @return the last id that it states, or empty if that is not a number
	 */
	public static Optional<Long> id(byte[] event) {
		Optional<Long> id = Optional.empty();
		for (int at = firstLine(event); at < event.length; at = nextLine(event, at)) {
			if (isField(event, at, ID_FIELD)) {
				id = number(event, valueStart(event, at, ID_FIELD), lineEnd(event, at));
			}
		}
		return id;
	}

	/**
	 * Parses the data of an event.
	 * @param event the bytes of the event
	 * @return the data lines, joined by line feeds, or empty if the event has none
	 */
	public static Optional<String> data(byte[] event) {
		StringBuilder text = null;
		for (int at = firstLine(event); at < event.length; at = nextLine(event, at)) {
			if (isField(event, at, DATA_FIELD)) {
				int from = valueStart(event, at, DATA_FIELD);
				text = (text != null) ? text.append('\n') : new StringBuilder();
				text.append(new String(event, from, lineEnd(event, at) - from, StandardCharsets.UTF_8));
			}
		}
		return Optional.ofNullable(text).map(StringBuilder::toString);
	}

	/**
	 * Returns where the first line starts: after the byte order mark that the first event
	 * of a stream may have.
	 * @param event the bytes of the event
	 * @return the position
	 */
	private static int firstLine(byte[] event) {
		return startsWith(event, 0, BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length : 0;
	}

	private static int nextLine(byte[] event, int at) {
		int next = at;
		while (next < event.length && event[next] != '\n') {
			next++;
		}
		return next + 1;
	}

	private static int lineEnd(byte[] event, int at) {
		int end = at;
		while (end < event.length && event[end] != '\n' && event[end] != '\r') {
			end++;
		}
		return end;
	}

	private static boolean isField(byte[] event, int at, byte[] name) {
		if (!startsWith(event, at, name)) {
			return false;
		}
		int end = at + name.length;
		return end == event.length || event[end] == ':' || event[end] == '\n' || event[end] == '\r';
	}

	/**
	 * Returns where the value of a field starts: after the colon and one space, both of
	 * which may be absent.
	 * @param event the bytes of the event
	 * @param at where the line starts
	 * @param name the field's name
	 * @return the position
	 */
	private static int valueStart(byte[] event, int at, byte[] name) {
		int start = at + name.length;
		if (start < event.length && event[start] == ':') {
			start++;
			if (start < event.length && event[start] == ' ') {
				start++;
			}
		}
		return start;
	}

	private static boolean startsWith(byte[] event, int at, byte[] prefix) {
		return at + prefix.length <= event.length
				&& Arrays.equals(event, at, at + prefix.length, prefix, 0, prefix.length);
	}

	private static Optional<Long> number(byte[] event, int from, int to) {
		int start = from;
		int end = to;
		while (start < end && event[start] == ' ') {
			start++;
		}
		while (start < end && event[end - 1] == ' ') {
			end--;
		}
		if (start == end || end - start > MAX_ID_DIGITS) {
			return Optional.empty();
		}
		long value = 0;
		for (int at = start; at < end; at++) {
			if (event[at] < '0' || event[at] > '9') {
				return Optional.empty();
			}
			value = value * 10 + (event[at] - '0');
		}
		return Optional.of(value);
	}

	/**
	 * Receives complete events.
	 */
	@FunctionalInterface
	public interface Sink {

		/**
		 * Called with a complete event.
		 * @param event the bytes of the event, including the empty line that ends it
		 */
		void event(byte[] event);

	}

}
