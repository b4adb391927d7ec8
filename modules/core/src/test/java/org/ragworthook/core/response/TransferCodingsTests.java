package org.ragworthook.core.response;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TransferCodings}.
 */
class TransferCodingsTests {

	private static boolean readable(String... codings) {
		List<Map.Entry<String, String>> headers = Stream.of(codings)
			.map((coding) -> Map.entry("transfer-Encoding", coding))
			.toList();
		return TransferCodings.readable(headers);
	}

	@Test
	void shouldReadABodyWithoutACoding() {
		assertThat(TransferCodings.readable(Map.of("Content-Encoding", "gzip").entrySet())).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "chunked", "Chunked", " chunked ", "identity" })
	void shouldReadABodyInChunks(String coding) {
		assertThat(readable(coding)).isTrue();
	}

	/** Guards against the bytes of a coded body in place of the body. */
	@ParameterizedTest
	@ValueSource(strings = { "gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunked;q=1", "" })
	void shouldNotReadABodyOfAnotherCoding(String coding) {
		assertThat(readable(coding)).isFalse();
	}

	/** Guards against a body that is decoded once and was coded twice. */
	@Test
	void shouldNotReadABodyWithTwoCodings() {
		assertThat(readable("chunked", "chunked")).isFalse();
	}

}
