package org.ragworthook.standin.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.engine.Prompt;

/**
 * A batch job made from a seed, with the result that each item must have. One item may
 * crash the engines that run it.
 */
public final class BatchJob {

	/** The custom id of the item that crashes engines. */
	public static final String POISON = "item-poison";

	private final String tag;

	private final Map<String, JsonObject> items = new LinkedHashMap<>();

	private BatchJob(String tag) {
		this.tag = Objects.requireNonNull(tag, "tag is null");
	}

	/**
	 * Makes a job.
	 * @param tag by which engines count the starts of its items
	 * @param model the model to ask
	 * @param size how many items it has
	 * @param mostTokens the longest answer
	 * @param poisoned whether one further item crashes engines
	 * @return the job
	 */
	public static BatchJob of(String tag, String model, int size, int mostTokens, boolean poisoned) {
		BatchJob job = new BatchJob(tag);
		Random random = new Random(tag.hashCode());
		for (int i = 0; i < size; i++) {
			String text = "cut sheet " + i + " of the evening";
			job.items.put("item-" + i, request(tag, model, text, 1 + random.nextInt(mostTokens)));
		}
		if (poisoned) {
			job.items.put(POISON, request(tag, model, Prompt.CRASH_MARKER, mostTokens));
		}
		return job;
	}

	private static JsonObject request(String tag, String model, String text, int tokens) {
		JsonObject message = new JsonObject().put("role", "user").put("content", "[[tag:" + tag + "]] " + text);
		return new JsonObject().put("model", model)
			.put("messages", new JsonArray().add(message))
			.put("max_tokens", tokens)
			.put("ignore_eos", true);
	}

	/**
	 * Returns the tag of its items.
	 * @return the tag
	 */
	public String tag() {
		return this.tag;
	}

	/**
	 * Returns how many items it has.
	 * @return the items, the one that crashes engines included
	 */
	public int size() {
		return this.items.size();
	}

	/**
	 * Returns the input file.
	 * @return one JSON request a line
	 */
	public String lines() {
		StringBuilder lines = new StringBuilder();
		this.items
			.forEach((id,
					body) -> lines.append(new JsonObject().put("custom_id", id)
						.put("method", "POST")
						.put("url", "/v1/chat/completions")
						.put("body", body)
						.encode()).append('\n'));
		return lines.toString();
	}

	/**
	 * Checks what came back against what must come back.
	 * @param output the lines of the output file
	 * @param errors the lines of the error file
	 * @return the comparison
	 */
	public Check check(String output, String errors) {
		Map<String, Integer> seen = new LinkedHashMap<>();
		int[] wrong = new int[1];
		int[] failed = new int[1];
		output.lines().filter((line) -> !line.isBlank()).map(JsonObject::new).forEach((line) -> {
			String id = line.getString("custom_id");
			seen.merge(id, 1, Integer::sum);
			wrong[0] += right(id, line) ? 0 : 1;
		});
		errors.lines().filter((line) -> !line.isBlank()).map(JsonObject::new).forEach((line) -> {
			String id = line.getString("custom_id");
			seen.merge(id, 1, Integer::sum);
			failed[0] += POISON.equals(id) ? 0 : 1;
		});
		int missing = (int) this.items.keySet().stream().filter((id) -> !seen.containsKey(id)).count();
		int doubled = (int) seen.values().stream().filter((times) -> times > 1).count();
		int unknown = (int) seen.keySet().stream().filter((id) -> !this.items.containsKey(id)).count();
		return new Check(this.items.size(), missing, doubled, wrong[0] + unknown, failed[0]);
	}

	private boolean right(String id, JsonObject line) {
		JsonObject request = this.items.get(id);
		JsonObject body = line.getJsonObject("response", new JsonObject()).getJsonObject("body", new JsonObject());
		JsonArray choices = body.getJsonArray("choices", new JsonArray());
		if (request == null || choices.isEmpty()) {
			return false;
		}
		String content = choices.getJsonObject(0).getJsonObject("message", new JsonObject()).getString("content");
		return Prompt.chat(request).answer().equals(content);
	}

	/**
	 * How the results of a job compare with what they must be.
	 *
	 * @param items how many items were accepted
	 * @param missing items without result or error
	 * @param doubled items with more than one
	 * @param wrong results that are not what they must be
	 * @param failed items that ended with an error although they can be run
	 */
	public record Check(int items, int missing, int doubled, int wrong, int failed) {

		/**
		 * Tells whether every item came back once and right.
		 * @return whether nothing is missing, doubled, wrong or failed
		 */
		public boolean whole() {
			return this.missing == 0 && this.doubled == 0 && this.wrong == 0 && this.failed == 0;
		}

		/**
		 * Adds the figures of another job.
		 * @param other the other comparison
		 * @return the sum
		 */
		public Check plus(Check other) {
			return new Check(this.items + other.items, this.missing + other.missing, this.doubled + other.doubled,
					this.wrong + other.wrong, this.failed + other.failed);
		}

		@Override
		public String toString() {
			return this.items + " items: " + this.missing + " missing, " + this.doubled + " doubled, " + this.wrong
					+ " wrong, " + this.failed + " failed";
		}

	}

}
