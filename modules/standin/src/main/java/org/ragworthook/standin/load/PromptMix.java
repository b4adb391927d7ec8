package org.ragworthook.standin.load;

import java.util.Objects;
import java.util.Random;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.engine.Prompt;

/**
 * Makes chat requests from a seed. Requests fall into groups that share a long beginning,
 * as the callers of one office do; each bears a tag of its own.
 */
public final class PromptMix {

	private static final int PREFIX_WORDS = 120;

	private final String model;

	private final int groups;

	private final int fewestTokens;

	private final int mostTokens;

	private final String run;

	private final Random random;

	private int number;

	private PromptMix(String model, int groups, int fewestTokens, int mostTokens, long seed) {
		this.model = Objects.requireNonNull(model, "model is null");
		this.groups = groups;
		this.fewestTokens = fewestTokens;
		this.mostTokens = mostTokens;
		this.random = new Random(seed);
		this.run = Long.toHexString(seed);
	}

	/**
	 * Returns a mix.
	 * @param model the model to ask
	 * @param groups how many beginnings there are
	 * @param fewestTokens the shortest answer
	 * @param mostTokens the longest answer
	 * @param seed makes the run repeatable
	 * @return a new mix
	 */
	public static PromptMix of(String model, int groups, int fewestTokens, int mostTokens, long seed) {
		return new PromptMix(model, groups, fewestTokens, mostTokens, seed);
	}

	/**
	 * Makes the next request.
	 * @return a request
	 */
	public Request next() {
		String tag = "o" + this.run + "-" + this.number++;
		int group = this.random.nextInt(this.groups);
		int tokens = this.fewestTokens + this.random.nextInt(this.mostTokens - this.fewestTokens + 1);
		JsonArray messages = new JsonArray().add(message("system", beginning(group)))
			.add(message("user", "[[tag:" + tag + "]] please check my note"));
		return new Request(tag,
				new JsonObject().put("model", this.model)
					.put("messages", messages)
					.put("max_tokens", tokens)
					.put("ignore_eos", true)
					.put("stream", true));
	}

	/**
	 * Returns one request that crashes each engine that runs it.
	 * @return the request, the same each time
	 */
	public Request poison() {
		JsonArray messages = new JsonArray().add(message("user", "[[tag:poison]] " + Prompt.CRASH_MARKER));
		return new Request("poison",
				new JsonObject().put("model", this.model)
					.put("messages", messages)
					.put("max_tokens", this.mostTokens)
					.put("ignore_eos", true)
					.put("stream", true));
	}

	private static String beginning(int group) {
		return ("office " + group + " asks for care with every width and drop ").repeat(PREFIX_WORDS / 10);
	}

	private static JsonObject message(String role, String content) {
		return new JsonObject().put("role", role).put("content", content);
	}

	/**
	 * A chat request.
	 *
	 * @param tag by which engines count its starts
	 * @param body the request as the OpenAI API describes it
	 */
	public record Request(String tag, JsonObject body) {

		/**
		 * Returns the answer that it must have.
		 * @return the whole generated text
		 */
		public String expected() {
			return Prompt.chat(this.body).answer();
		}

	}

}
