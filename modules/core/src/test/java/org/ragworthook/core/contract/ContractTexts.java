package org.ragworthook.core.contract;

import java.time.Instant;
import java.util.concurrent.CompletionException;

import org.ragworthook.core.error.RagworthookException;

/**
 * Contract texts and helpers for tests.
 */
final class ContractTexts {

	private ContractTexts() {
	}

	static String standard(String extra) {
		return """
				{
					"name": "test",
					"regions": [{"name": "r", "failureDomains": ["a", "b"]}],
					"services": [
						{"name": "desk", "failureDomains": ["a", "b"], "upstreams": 4,
						 "models": [{"name": "m", "version": "v1",
						 "replicas": {"min": 2, "max": 4, "failureDomains": 2}}]},
						{"name": "bookings", "type": "plain", "failureDomains": ["a"], "upstreams": 1}
					],
					"accounts": [{"name": "office", "weight": 2, "keys": ["%s"]}]%s
				}
				""".formatted(KeyHash.of("office-key").text(), extra.isEmpty() ? "" : ", " + extra);
	}

	static String standard() {
		return standard("");
	}

	static String withWeight(int weight) {
		return standard().replace("\"weight\": 2", "\"weight\": " + weight);
	}

	static String withModelVersion(String version) {
		return standard().replace("\"v1\"", "\"" + version + "\"");
	}

	static Revision revision(long version, String text) {
		return new Revision(version, "ana", "why not", Instant.EPOCH, text);
	}

	static RagworthookException failureOf(Runnable action) {
		try {
			action.run();
		}
		catch (RagworthookException ex) {
			return ex;
		}
		catch (CompletionException ex) {
			return (RagworthookException) ex.getCause();
		}
		throw new AssertionError("nothing failed");
	}

}
