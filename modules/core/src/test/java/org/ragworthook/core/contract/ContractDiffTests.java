package org.ragworthook.core.contract;

import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

class ContractDiffTests {

	static Stream<Arguments> edits() {
		return Stream.of(
				Arguments.of("\"v1\"", "\"v2\"", ContractChange.Effect.ROLL_OUT, "roll out m@v2 in place of m@v1"),
				Arguments.of("\"min\": 2", "\"min\": 3", ContractChange.Effect.LOAD,
						"replicas 2 to 4 over 2 -> 3 to 4 over 2"),
				Arguments.of("\"max\": 4", "\"max\": 3", ContractChange.Effect.MOVE, "2 to 4 over 2 -> 2 to 3 over 2"),
				Arguments.of("\"weight\": 2", "\"weight\": 3", ContractChange.Effect.ACCOUNT, "office: weight 2 -> 3"),
				Arguments.of("\"name\": \"office\"", "\"name\": \"shop\"", ContractChange.Effect.ACCOUNT,
						"office is removed"),
				Arguments.of("\"failureDomains\": [\"a\"], ", "\"failureDomains\": [\"b\"], ",
						ContractChange.Effect.MOVE, "service bookings: replicas move from a to b"),
				Arguments.of("\"name\": \"m\"", "\"name\": \"n\"", ContractChange.Effect.UNLOAD, "unload m@v1"),
				Arguments.of("\"name\": \"bookings\"", "\"name\": \"tours\"", ContractChange.Effect.SERVICE,
						"service bookings is removed"));
	}

	@ParameterizedTest
	@MethodSource("edits")
	void shouldDescribeTheEffectOfAnEdit(String before, String after, ContractChange.Effect effect,
			String description) {
		Contract old = Contract.parse(1, ContractTexts.standard());
		Contract fresh = Contract.parse(2, ContractTexts.standard().replace(before, after));
		assertThat(ContractDiff.between(Optional.of(old), fresh)
			.stream()
			.filter((change) -> change.effect() == effect)
			.map(ContractChange::description)
			.reduce("", (left, right) -> left + right + "\n")).contains(description);
		assertThat(ContractDiff.between(Optional.of(old), old)).isEmpty();
	}

}
