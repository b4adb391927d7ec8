package org.ragworthook.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

import io.vertx.core.json.JsonObject;

/**
 * What an engine did, for checks: requests by their end, tokens, and starts by tag.
 */
final class EngineCounts {

	private static final int TAGS_KEPT = 10_000;

	private final Map<String, Starts> tags = new LinkedHashMap<>();

	private long arrived;

	private long admitted;

	private long finished;

	private long cancelled;

	private long crashes;

	private long tokens;

	private long promptTokens;

	private long cachedTokens;

	private int mostWaiting;

	void arrived(int waiting) {
		this.arrived++;
		this.mostWaiting = Math.max(this.mostWaiting, waiting);
	}

	void admitted(Generation generation) {
		this.admitted++;
		this.promptTokens += generation.prompt().tokens();
		this.cachedTokens += generation.cachedTokens();
		generation.prompt().tag().ifPresent((tag) -> {
			if (this.tags.size() < TAGS_KEPT || this.tags.containsKey(tag)) {
				this.tags.computeIfAbsent(tag, (name) -> new Starts()).start();
			}
		});
	}

	void finished(Generation generation) {
		this.finished++;
		this.tokens += generation.produced();
		generation.prompt().tag().map(this.tags::get).ifPresent(Starts::finish);
	}

	void cancelled(Generation generation) {
		this.cancelled++;
		this.tokens += generation.produced();
	}

	void crashed() {
		this.crashes++;
	}

	long crashes() {
		return this.crashes;
	}

	long tokens() {
		return this.tokens;
	}

	JsonObject document() {
		return new JsonObject().put("arrived", this.arrived)
			.put("admitted", this.admitted)
			.put("finished", this.finished)
			.put("cancelled", this.cancelled)
			.put("crashes", this.crashes)
			.put("tokens", this.tokens)
			.put("promptTokens", this.promptTokens)
			.put("cachedTokens", this.cachedTokens)
			.put("mostWaiting", this.mostWaiting);
	}

	JsonObject tags() {
		JsonObject document = new JsonObject();
		this.tags.forEach((tag, starts) -> document.put(tag, starts.document()));
		return document;
	}

	private static final class Starts {

		private int started;

		private int finished;

		private long lastStartMillis;

		void start() {
			this.started++;
			this.lastStartMillis = System.currentTimeMillis();
		}

		void finish() {
			this.finished++;
		}

		JsonObject document() {
			return new JsonObject().put("started", this.started)
				.put("finished", this.finished)
				.put("lastStartMillis", this.lastStartMillis);
		}

	}

}
