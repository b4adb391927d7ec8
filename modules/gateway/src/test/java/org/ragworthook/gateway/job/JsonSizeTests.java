package org.ragworthook.gateway.job;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that sizes are those that encoders produce.
 */
class JsonSizeTests {

	private static final ObjectMapper UTF8 = new ObjectMapper();

	private static final ObjectMapper ASCII = JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

	static Stream<String> texts() {
		Random random = new Random(3);
		Stream<String> mixed = Stream
			.generate(() -> random.ints(200, 0, 0x3000).mapToObj(Character::toString).collect(Collectors.joining()))
			.limit(20);
		return Stream.concat(
				Stream.of("", "plain", "\"quoted\"", "\\", "\b\t\n\f\r", "\u0000\u0001\u001f\u007f",
						"\u0080\u07ff\u0800", "\u4e16\u754c", "\ud83d\ude00", "a\u00e9\u4e16\ud83d\ude00\"\\\n"),
				mixed);
	}

	private static int size(ObjectMapper mapper, String text) throws JsonProcessingException {
		return mapper.writeValueAsString(text).getBytes(StandardCharsets.UTF_8).length - 2;
	}

	@ParameterizedTest
	@MethodSource("texts")
	void shouldCountWhatAnEncoderWrites(String text) throws JsonProcessingException {
		assertThat(JsonSize.utf8(text)).isEqualTo(size(UTF8, text));
		assertThat(JsonSize.max(text)).isEqualTo(size(ASCII, text));
	}

	/**
	 * Guards against a document that exceeds an object since the object escapes it once
	 * more.
	 * @param text the text in the document
	 */
	@ParameterizedTest
	@MethodSource("texts")
	void shouldCountEscapesOfEscapes(String text) throws JsonProcessingException {
		String document = UTF8.writeValueAsString(text);
		assertThat(JsonSize.maxNested(text)).isEqualTo(size(ASCII, document) - 4);
	}

}
