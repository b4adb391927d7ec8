package org.ragworthook.gateway.event;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
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

}
