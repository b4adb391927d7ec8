package org.ragworthook.core.response;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link JoinedHeads}.
 */
class JoinedHeadsTests {

	/** Guards against a status of one response with the body of another. */
	@ParameterizedTest
	@CsvSource({ "OK, Content-TypHTTP/1.1, ''", "OK, Content-Type, application/jsHTTP/1.1 500 Failed",
			"OK, Content-Type, HTTP/1.0 404 Not Found", "HTTP/1.1 500 Failed, Content-Type, text/plain" })
	void shouldFindTheSecondStatusLine(String reason, String name, String value) {
		assertThat(JoinedHeads.joined(reason, Map.of(name, value).entrySet())).isTrue();
	}

	/** Guards against refusing responses that name a version of HTTP. */
	@ParameterizedTest
	@CsvSource({ "OK, Via, HTTP/1.1 proxy.example", "OK, Server, SimpleHTTP/0.6 Python/3.11",
			"HTTP Version Not Supported, Upgrade, HTTP/2.0", "'', Content-Type, text/plain" })
	void shouldAcceptAVersion(String reason, String name, String value) {
		assertThat(JoinedHeads.joined(reason, Map.of(name, value).entrySet())).isFalse();
	}

	@Test
	void shouldAcceptAHeadWithoutAReason() {
		assertThat(JoinedHeads.joined(null, Map.<String, String>of().entrySet())).isFalse();
	}

}
