package org.ragworthook.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that complete events are found however the bytes of a stream are split.
 */
class SseFrameDecoderTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-versions: 3\nid: 3\ndata: c\n\n";

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5, 7, 11, 1_000 })
	void shouldFindTheSameEventsInChunksOfAnySize(int size) {
		SseFrameDecoder decoder = SseFrameDecoder.create();
		List<String> events = new ArrayList<>();
		for (int at = 0; at < STREAM.length(); at += size) {
			String chunk = STREAM.substring(at, Math.min(STREAM.length(), at + size));
			decoder.decode(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8),
					(event) -> events.add(new String(event, StandardCharsets.UTF_8)));
		}
		assertThat(events).hasSize(3);
		assertThat(String.join("", events)).isEqualTo(STREAM);
		assertThat(decoder.hasPartialEvent()).isFalse();
		assertThat(events.stream().map((event) -> SseFrameDecoder.id(event.getBytes(StandardCharsets.UTF_8))).toList())
			.isEqualTo(List.of(Optional.of(1L), Optional.of(2L), Optional.of(3L)));
		assertThat(
				events.stream().map((event) -> SseFrameDecoder.data(event.getBytes(StandardCharsets.UTF_8))).toList())
			.isEqualTo(List.of(Optional.of("a"), Optional.of("b"), Optional.of("c")));
	}

	/** Guards against a stream whose events are forwarded in parts. */
	@ParameterizedTest
	@CsvSource({ "text/event-stream,true", "text/event-stream; charset=utf-8,true", "Text/Event-Stream,true",
			"text/plain,false", "application/octet-stream,false" })
	void shouldFindAStreamByItsMediaTypeInAnyCase(String type, boolean stream) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		head.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		assertThat(SseFrameDecoder.decodes(head)).isEqualTo(stream);
	}

	/**
	 * Guards against forwarding the beginning of an event when an upstream stops in the
	 * middle of it: the stream could not be resumed after it.
	 */
	@Test
	void shouldHoldBackAnIncompleteEvent() {
		SseFrameDecoder decoder = SseFrameDecoder.create();
		List<String> events = new ArrayList<>();
		decoder.decode(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", StandardCharsets.UTF_8),
				(event) -> events.add(new String(event, StandardCharsets.UTF_8)));
		assertThat(events).containsExactly("id: 1\ndata: a\n\n");
		assertThat(decoder.hasPartialEvent()).isTrue();
	}

	@Test
	void shouldJoinDataLines() {
		byte[] event = "id: 1\ndata: a\ndata:b\n\n".getBytes(StandardCharsets.UTF_8);
		assertThat(SseFrameDecoder.data(event)).hasValue("a\nb");
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: a\n\n", "id: x\ndata: a\n\n", "\n", ": note\n\n" })
	void shouldFindNoIdInAnEventWithoutOne(String event) {
		assertThat(SseFrameDecoder.id(event.getBytes(StandardCharsets.UTF_8))).isEmpty();
	}

	private static List<String> decode(SseFrameDecoder decoder, byte[]... parts) {
		List<String> events = new ArrayList<>();
		for (byte[] part : parts) {
			decoder.decode(Unpooled.wrappedBuffer(part),
					(event) -> events.add(new String(event, StandardCharsets.UTF_8)));
		}
		return events;
	}

	/**
	 * Guards against an event that is lost, doubled or cut where two packets meet.
	 * @param stream a stream of events
	 */
	@ParameterizedTest
	@ValueSource(strings = { STREAM, "id: 1\r\ndata: a\r\ndata: b\r\n\r\nid: 2\r\ndata:\r\n\r\n",
			": note\n\nid: 1\nevent: token\ndata: \u00e4\u20ac\ud83d\ude00\n\n:\n\n\nid: 2\ndata: b\n\n",
			"\ufeffid: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\r\n\nid: 2\ndata: b\n\r\n", "id: 1\ndata: a",
			"\r\n\r\nid: 1\ndata: a\n\n" })
	void shouldFindTheSameEventsAtAnyTwoSplits(String stream) {
		byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
		SseFrameDecoder whole = SseFrameDecoder.create();
		List<String> expected = decode(whole, bytes);
		for (int first = 0; first <= bytes.length; first++) {
			for (int second = first; second <= bytes.length; second++) {
				SseFrameDecoder decoder = SseFrameDecoder.create();
				assertThat(decode(decoder, Arrays.copyOf(bytes, first), Arrays.copyOfRange(bytes, first, second),
						Arrays.copyOfRange(bytes, second, bytes.length)))
					.isEqualTo(expected);
				assertThat(decoder.hasPartialEvent()).isEqualTo(whole.hasPartialEvent());
			}
		}
	}

	/**
	 * Guards against an event whose number or data is not found because of how its lines
	 * are written.
	 * @param event the event
	 * @param id its number
	 * @param data its data
	 */
	@ParameterizedTest
	@CsvSource({ "'id: 7\ndata: a\n\n', 7, a", "'\ufeffid: 7\ndata: a\n\n', 7, a", "'\ufeffdata: a\nid: 7\n\n', 7, a",
			"'event: token\nid:7\ndata:a\n\n', 7, a", "': note\nid: 7\ndata: a\n\n', 7, a",
			"'\r\nid: 7\r\ndata: a\r\n\r\n', 7, a", "'id: 7\ndata: a\ndata: id: 8\n\n', 7, 'a\nid: 8'",
			"'id: 7\ndata:  a \n\n', 7, ' a '", "'id: 7\ndata:\n\n', 7, ''", "'id: 7\ndata\n\n', 7, ''",
			"'id: 7\ndata\ndata: a\n\n', 7, '\na'", "'id: 7\ndatabase: x\ndata: a\n\n', 7, a",
			"'id: 7\nid: 8\ndata: a\n\n', 8, a" })
	void shouldFindNumberAndData(String event, long id, String data) {
		byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
		assertThat(SseFrameDecoder.id(bytes)).hasValue(id);
		assertThat(SseFrameDecoder.data(bytes)).hasValue(data);
	}

	/**
	 * Guards against a number that is taken from text that is none: the stream would be
	 * resumed elsewhere, or its next event taken for a gap.
	 * @param event an event without a valid number
	 */
	@ParameterizedTest
	@ValueSource(strings = { "id: 12x\ndata: a\n\n", "id: 99999999999999999999\ndata: a\n\n",
			"id: 18446744073709551617\ndata: a\n\n", "id: 1 2\ndata: a\n\n", "id: -1\ndata: a\n\n", "id:\ndata: a\n\n",
			"identity: 5\ndata: a\n\n" })
	void shouldNotTakeOtherTextForANumber(String event) {
		assertThat(SseFrameDecoder.id(event.getBytes(StandardCharsets.UTF_8))).isEmpty();
	}

}
