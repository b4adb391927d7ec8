package org.ragworthook.standin.load;

import java.util.List;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.ragworthook.standin.engine.Prompt;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BatchJob}: a check that let a fault pass would make every figure of
 * the demonstration worthless.
 */
class BatchJobTests {

	private final BatchJob job = BatchJob.of("evening", "assistant", 5, 8, true);

	private List<String> results() {
		return this.job.lines()
			.lines()
			.map(JsonObject::new)
			.filter((item) -> !BatchJob.POISON.equals(item.getString("custom_id")))
			.map(BatchJobTests::result)
			.collect(Collectors.toList());
	}

	private static String result(JsonObject item) {
		JsonObject message = new JsonObject().put("role", "assistant")
			.put("content", Prompt.chat(item.getJsonObject("body")).answer());
		JsonObject body = new JsonObject().put("choices",
				new JsonArray().add(new JsonObject().put("message", message)));
		return new JsonObject().put("custom_id", item.getString("custom_id"))
			.put("response", new JsonObject().put("status_code", 200).put("body", body))
			.encode();
	}

	private static String error(String id) {
		return new JsonObject().put("custom_id", id).put("error", new JsonObject().put("code", "x")).encode();
	}

	private BatchJob.Check check(List<String> results, String errors) {
		return this.job.check(String.join("\n", results), errors);
	}

	@Test
	void shouldFindAWholeJobWhole() {
		BatchJob.Check check = check(results(), error(BatchJob.POISON));
		assertThat(check.whole()).isTrue();
		assertThat(check.items()).isEqualTo(6);
	}

	@Test
	void shouldNoticeALostItem() {
		assertThat(check(results().subList(1, 5), error(BatchJob.POISON)).missing()).isEqualTo(1);
	}

	@Test
	void shouldNoticeADoubledItem() {
		List<String> results = results();
		results.add(results.get(2));
		assertThat(check(results, error(BatchJob.POISON)).doubled()).isEqualTo(1);
	}

	@Test
	void shouldNoticeAnItemWithResultAndError() {
		assertThat(check(results(), error("item-3") + "\n" + error(BatchJob.POISON)).doubled()).isEqualTo(1);
	}

	@Test
	void shouldNoticeAnotherItemsResult() {
		List<String> results = results();
		results.set(0, results.get(1).replace("\"item-1\"", "\"item-0\""));
		assertThat(check(results, error(BatchJob.POISON)).wrong()).isEqualTo(1);
	}

	@Test
	void shouldNoticeAnItemThatFailedWithoutReason() {
		List<String> results = results();
		results.remove(0);
		assertThat(check(results, error("item-0") + "\n" + error(BatchJob.POISON)).failed()).isEqualTo(1);
	}

}
