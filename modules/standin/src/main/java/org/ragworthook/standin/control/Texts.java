package org.ragworthook.standin.control;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.ragworthook.core.contract.KeyHash;

/**
 * Texts of any size.
 */
final class Texts {

	/** The service that holds every model. */
	static final String SERVICE = "desk";

	private Texts() {
	}

	static String of(int accounts, int models, int upstreams, int min, int max) {
		String modelLines = IntStream.range(0, models)
			.mapToObj((model) -> """
					{"name": "m%d", "version": "1", "replicas": {"min": %d, "max": %d, "failureDomains": 3}}"""
				.formatted(model, min, max))
			.collect(Collectors.joining(",\n"));
		String accountLines = IntStream.range(0, accounts)
			.mapToObj((account) -> """
					{"name": "a%d", "weight": 2, "keys": ["%s"]}""".formatted(account,
					KeyHash.of("k" + account).text()))
			.collect(Collectors.joining(",\n"));
		return """
				{"name": "bench", "regions": [{"name": "r", "failureDomains": ["a", "b", "c"]}],
				"services": [{"name": "desk", "failureDomains": ["a", "b", "c"], "upstreams": %d, "models": [%s]}],
				"accounts": [%s]}
				""".formatted(upstreams, modelLines, accountLines);
	}

}
