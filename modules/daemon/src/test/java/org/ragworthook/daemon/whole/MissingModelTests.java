package org.ragworthook.daemon.whole;

import java.net.URI;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.contract.KeyHash;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for engines of one service of which some have a model unloaded.
 */
class MissingModelTests {

	private static final int ITEMS = 60;

	private static final String TEXT = """
			{
				"name": "test",
				"regions": [{"name": "region", "failureDomains": ["domain"]}],
				"services": [{"name": "desk", "failureDomains": ["domain"], "upstreams": 2,
					"models": [{"name": "test-model", "version": "1",
						"replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				"accounts": [{"name": "tester", "keys": ["%s"]}]
			}
			""".formatted(KeyHash.of(WholeFleet.KEY).text());

	private static final String ITEM = "{\"custom_id\": \"item-%d\", \"method\": \"POST\", "
			+ "\"url\": \"/v1/chat/completions\", \"body\": {\"model\": \"test-model\", \"max_tokens\": 3, "
			+ "\"messages\": [{\"role\": \"user\", \"content\": \"cut sheet %d\"}]}}\n";

	private final WholeFleet fleet = new WholeFleet(TEXT);

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	/**
	 * The contract asks for one replica on two engines, so one of them has the model
	 * unloaded. It answers at once that it does not know the model and would be given
	 * item after item; the office would find a part of its evening's bundle ended as
	 * failed.
	 */
	@Test
	void shouldRunEveryItemWhereTheModelIs() {
		this.fleet.upstream(4, "another-model");
		this.fleet.upstream(4);
		URI entry = this.fleet.entry();
		this.fleet.awaitServing();
		String lines = IntStream.range(0, ITEMS)
			.mapToObj((item) -> ITEM.formatted(item, item))
			.collect(Collectors.joining());
		String file = call(entry, "POST", "/v1/files", lines).getString("id");
		String batch = call(entry, "POST", "/v1/batches",
				new JsonObject().put("input_file_id", file)
					.put("endpoint", "/v1/chat/completions")
					.put("completion_window", "24h")
					.encode())
			.getString("id");
		WholeFleet.await(() -> call(entry, "GET", "/v1/batches/" + batch, "").getString("status").equals("completed"));
		JsonObject counts = call(entry, "GET", "/v1/batches/" + batch, "").getJsonObject("request_counts");
		assertThat(counts.getInteger("completed")).isEqualTo(ITEMS);
		assertThat(counts.getInteger("failed")).isEqualTo(0);
	}

	private JsonObject call(URI entry, String method, String path, String body) {
		return new JsonObject(this.fleet.operate(entry, method, path, WholeFleet.KEY, 0, body).body());
	}

}
