package org.ragworthook.core.contract;

import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;

class ContractValidationTests {

	static Stream<Arguments> invalidEdits() {
		return Stream.of(
				Arguments.of("\"upstreams\": 4", "\"upstream\": 4", "\"upstream\"", "key 'upstream' is not known"),
				Arguments.of("\"upstreams\": 4", "\"upstreams\": \"4\"", "\"4\"", "upstreams is a string"),
				Arguments.of("\"upstreams\": 4", "\"upstreams\": 0", "0,", "upstreams 0 is out of range"),
				Arguments.of("\"max\": 4", "\"max\": 4, \"max\": 6", "\"max\": 6", "key 'max' stands twice"),
				Arguments.of("\"min\": 2, \"max\": 4", "\"min\": 5, \"max\": 5", "{\"min\"", "needs 5 replicas"),
				Arguments.of("\"failureDomains\": 2", "\"failureDomains\": 3", "{\"min\"",
						"cannot spread 2 replicas over 3"),
				Arguments.of("\"plain\"", "\"odd\"", "\"odd\"", "type 'odd' is not known"),
				Arguments.of("[\"a\"], \"upstreams\": 1", "[\"c\"], \"upstreams\": 1", "\"c\"", "failure domain 'c'"),
				Arguments.of("\"upstreams\": 1", "\"upstreams\": 1, \"dependsOn\": [\"x\"]", "\"x\"",
						"service 'x' does not"),
				Arguments.of("\"upstreams\": 1", "\"upstreams\": 1, \"dependsOn\": [\"bookings\"]", "\"bookings\"]",
						"in a cycle"),
				Arguments.of("\"name\": \"bookings\"", "\"name\": \"desk\"", "\"desk\", \"type\"",
						"service 'desk' stands at line 5"),
				Arguments.of("\"sha256:", "\"sha255:", "\"sha255:", "a key is not in the form"),
				Arguments.of("\"accounts\": [", "\"accounts\": [;", ";", "not well-formed JSON"));
	}

	@ParameterizedTest
	@MethodSource("invalidEdits")
	void shouldReportPositionAndRemedyOfAnError(String right, String wrong, String at, String message) {
		assertThat(ContractTexts.standard()).contains(right);
		String text = ContractTexts.standard().replace(right, wrong);
		ValidationResult result = Contract.validate(1, text);
		assertThat(result.isAcceptable()).isFalse();
		Problem found = result.errors()
			.stream()
			.filter((problem) -> problem.message().contains(message))
			.findFirst()
			.orElseThrow(() -> new AssertionError(result.errors().toString()));
		assertThat(found.remedy()).isNotEmpty();
		String line = text.split("\n")[found.line() - 1];
		assertThat(line.substring(found.column() - 1)).startsWith(at);
	}

	@Test
	void shouldReportAllErrorsOrderedByPosition() {
		String text = ContractTexts.standard("\"colour\": 1")
			.replace("\"upstreams\": 4", "\"upstreams\": true")
			.replace("\"weight\": 2", "\"weight\": 2.5");
		ValidationResult result = Contract.validate(1, text);
		assertThat(result.errors().stream().map(Problem::line).toList()).containsExactly(5, 7, 10, 10).inOrder();
	}

	@Test
	void shouldNameEveryServiceOfADependencyCycle() {
		String text = ContractTexts.standard()
			.replace("\"upstreams\": 4", "\"upstreams\": 4, \"dependsOn\": [\"bookings\"]")
			.replace("\"upstreams\": 1", "\"upstreams\": 1, \"dependsOn\": [\"desk\"]");
		assertThat(Contract.validate(1, text).errors().get(0).message()).contains("desk -> bookings -> desk");
	}

	@Test
	void shouldWarnAboutAnOperatorWithoutKeys() {
		ValidationResult result = Contract.validate(1, ContractTexts.standard("\"operators\": [{\"name\": \"ana\"}]"));
		assertThat(result.isAcceptable()).isTrue();
		assertThat(result.warnings()).hasSize(1);
	}

}
