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

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

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
		return type != null && type.startsWith(MEDIA_TYPE);
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
		this.scanned = this.length;
	}

	/**
	 * Returns whether the last event is incomplete.
	 * @return whether bytes were received that are not passed on yet
	 */
	public boolean hasPartialEvent() {
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

	private void passOn(int start, int end, Sink sink) {
		sink.event(Arrays.copyOfRange(this.pending, start, end));
	}

	/**
	 * Parses the id of an event.
	 * @param event the bytes of the event
	 * @return the id, or empty if the event has no numeric id
	 */
	public static Optional<Long> id(byte[] event) {
		for (int at = 0; at >= 0; at = nextLine(event, at)) {
			if (startsWith(event, at, ID_FIELD)) {
				return number(event, at + ID_FIELD.length);
			}
		}
		return Optional.empty();
	}

	/**
	 * Parses the data of an event.
	 * @param event the bytes of the event
	 * @return the data lines, joined by line feeds, or empty if the event has none
	 */
	public static Optional<String> data(byte[] event) {
		StringBuilder text = null;
		for (int at = 0; at >= 0; at = nextLine(event, at)) {
			if (startsWith(event, at, DATA_FIELD)) {
				int from = at + DATA_FIELD.length;
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

	private static boolean startsWith(byte[] event, int at, byte[] field) {
		return at + field.length <= event.length && Arrays.equals(event, at, at + field.length, field, 0, field.length);
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
