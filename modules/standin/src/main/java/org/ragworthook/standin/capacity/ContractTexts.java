package org.ragworthook.standin.capacity;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.ragworthook.core.contract.KeyHash;

/**
 * Contract texts of any size.
 */
final class ContractTexts {

	private ContractTexts() {
	}

	/**
	 * Returns a valid text with one service of many models.
	 * @param accounts how many accounts, each with a key and limits
	 * @param models how many models
	 * @return the text
	 */
	static String of(int accounts, int models) {
		return """
				{
					"name": "capacity",
					"regions": [{"name": "r", "failureDomains": ["a", "b"]}],
					"services": [{"name": "desk", "failureDomains": ["a", "b"], "upstreams": 400, "models": [
				%s
					]}],
					"accounts": [
				%s
					]
				}
				""".formatted(lines(models, ContractTexts::model), lines(accounts, ContractTexts::account));
	}

	private static String lines(int count, java.util.function.IntFunction<String> line) {
		return IntStream.range(0, count).mapToObj(line).collect(Collectors.joining(",\n"));
	}

	private static String model(int number) {
		return """
				{"name": "model-%d", "version": "v1", "replicas": {"min": 1, "max": 4, "failureDomains": 1}}"""
			.formatted(number);
	}

	private static String account(int number) {
		return """
				{"name": "account-%d", "weight": 2, "keys": ["%s"], "limits": {"requestsPerSecond": 20, "inFlight": 50}}"""
			.formatted(number, KeyHash.of("key-" + number).text());
	}

}
