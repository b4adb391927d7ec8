package org.ragworthook.daemon.whole;

import java.net.URI;
import java.net.http.HttpResponse;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.contract.KeyHash;

import static com.google.common.truth.Truth.assertThat;

class ControlTests {

	private static final String OPERATOR = "operator-key";

	private static final String TEXT = """
			{
				"name": "test",
				"regions": [{"name": "region", "failureDomains": ["domain"]}],
				"services": [{"name": "desk", "failureDomains": ["domain"], "upstreams": 1,
					"models": [{"name": "test-model", "version": "1", "adapters": ["cut"],
						"replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				"accounts": [{"name": "tester", "weight": 1, "keys": ["%s"]}],
				"operators": [{"name": "ana", "keys": ["%s"]}]
			}
			""".formatted(KeyHash.of(WholeFleet.KEY).text(), KeyHash.of(OPERATOR).text());

	private WholeFleet fleet;

	private URI entry;

	@BeforeEach
	void start() {
		this.fleet = new WholeFleet(TEXT);
		this.fleet.upstream(2);
		this.entry = this.fleet.entry();
		this.fleet.awaitServing();
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	private static String weight(int weight) {
		return TEXT.replace("\"weight\": 1", "\"weight\": " + weight);
	}

	private HttpResponse<String> apply(URI at, long base, String text) {
		return this.fleet.operate(at, "PUT", "/admin/v1/contract?reason=test", OPERATOR, base, text);
	}

	private JsonObject read(URI at, String path) {
		HttpResponse<String> answer = this.fleet.operate(at, "GET", path, OPERATOR, 0, "");
		return (answer.statusCode() == 200) ? new JsonObject(answer.body()) : new JsonObject();
	}

	private boolean everywhere(URI at, int processes, long version) {
		JsonArray rows = read(at, "/admin/v1/status").getJsonArray("processes", new JsonArray());
		return rows.size() == processes
				&& rows.stream().allMatch((row) -> ((JsonObject) row).getLong("version") == version);
	}

	@Test
	void shouldBringAnAcceptedTextIntoForceEverywhere() {
		URI second = this.fleet.entry();
		this.fleet.awaitServing();
		assertThat(apply(this.entry, 1, weight(2)).statusCode()).isEqualTo(200);
		WholeFleet.await(() -> everywhere(second, 3, 2));
		JsonArray history = read(second, "/admin/v1/history").getJsonArray("changes");
		assertThat(history.getJsonObject(0).getString("author")).isEqualTo("ana");
		assertThat(history.getJsonObject(0).getString("reason")).isEqualTo("test");
		assertThat(read(second, "/admin/v1/contract?version=1").getString("text")).isEqualTo(TEXT);
	}

	@Test
	void shouldLoadWhatTheTextDemands() {
		WholeFleet.await(() -> answers("cut"));
	}

	private boolean answers(String model) {
		String body = "{\"model\": \"" + model
				+ "\", \"max_tokens\": 1, \"messages\": [{\"role\": \"user\", \"content\": \"x\"}]}";
		return this.fleet.operate(this.entry, "POST", "/v1/chat/completions", WholeFleet.KEY, 0, body)
			.statusCode() == 200;
	}

	// Two operators edit version 1 at different entries. The second must not wipe out the
	// first's change unseen, whichever entry it calls.
	@Test
	void shouldRefuseTheSecondOfTwoRacingOperators() {
		URI second = this.fleet.entry();
		this.fleet.awaitServing();
		assertThat(apply(this.entry, 1, weight(2)).statusCode()).isEqualTo(200);
		HttpResponse<String> refused = apply(second, 1, weight(3));
		assertThat(refused.statusCode()).isEqualTo(409);
		assertThat(refused.body()).contains("weight 1 -> 2");
		assertThat(refused.body()).contains("weight 1 -> 3");
	}

	@Test
	void shouldTellOperatorsFromCallersAndStrangers() {
		assertThat(this.fleet.operate(this.entry, "GET", "/admin/v1/history", WholeFleet.KEY, 0, "").statusCode())
			.isEqualTo(403);
		assertThat(this.fleet.operate(this.entry, "GET", "/admin/v1/history", "nobody", 0, "").statusCode())
			.isEqualTo(401);
		assertThat(this.fleet.operate(this.entry, "GET", "/v1/models", OPERATOR, 0, "").statusCode()).isEqualTo(401);
	}

	// The platform is out and an entry is replaced. Callers who reach the new entry
	// expect
	// an answer; it can have the text only from its peer.
	@Test
	void shouldTakeTheTextFromAPeerWhileThePlatformIsOut() {
		assertThat(apply(this.entry, 1, weight(2)).statusCode()).isEqualTo(200);
		this.fleet.outage(true);
		assertThat(apply(this.entry, 2, weight(3)).statusCode()).isEqualTo(503);
		URI newcomer = this.fleet.entry();
		this.fleet.awaitServing();
		assertThat(read(newcomer, "/admin/v1/contract").getLong("version")).isEqualTo(2);
		this.fleet.outage(false);
		WholeFleet.await(() -> apply(newcomer, 2, weight(3)).statusCode() == 200);
		WholeFleet.await(() -> everywhere(this.entry, 3, 3));
	}

}
