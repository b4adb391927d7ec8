package org.ragworthook.core.contract;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ConfigException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Truncated, binary or mistyped texts must be rejected with a ConfigException. Any other
 * exception would fail the request, or the process that follows the contract, without the
 * position of the error.
 */
class ContractFuzzTests {

	private static final String SEED = "20261202";

	@Property(seed = SEED, tries = 1000)
	void shouldRejectRandomTextsWithConfigException(@ForAll String text) {
		assertThat(parsesOrRejects(text)).isFalse();
	}

	@Property(seed = SEED, tries = 3000)
	void shouldRejectCorruptedContractsWithConfigException(
			@ForAll @Size(min = 1, max = 4) List<@IntRange(max = 2000) Integer> cuts,
			@ForAll("fragments") String fragment) {
		StringBuilder text = new StringBuilder(ContractTexts.standard());
		for (int cut : cuts) {
			int at = cut % text.length();
			text.replace(at, Math.min(text.length(), at + cut % 7), fragment);
		}
		parsesOrRejects(text.toString());
	}

	@ParameterizedTest
	@ValueSource(ints = { 100, 10_000, 1_000_000 })
	void shouldRejectDeeplyNestedTextsWithoutStackOverflow(int depth) {
		assertThat(parsesOrRejects("[".repeat(depth))).isFalse();
		assertThat(parsesOrRejects("{\"services\":".repeat(depth))).isFalse();
	}

	@Provide
	Arbitrary<String> fragments() {
		return Arbitraries.of("", "\"", "{", "}", "[", "]", ",", ":", "null", "-1", "1e999", "99999999999999999999",
				"true", "/*", "//", "\\u0000", "\"name\"", "\ud800", "[{}]", "\"sha256:zz\"", "0.5");
	}

	private static boolean parsesOrRejects(String text) {
		try {
			Contract.parse(1, text);
			return true;
		}
		catch (ConfigException ex) {
			return false;
		}
	}

}
