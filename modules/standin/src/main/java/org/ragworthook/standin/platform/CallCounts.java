package org.ragworthook.standin.platform;

import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.ragworthook.core.store.Kind;
import org.ragworthook.objectapi.StoreVerb;

/**
 * Counts the calls that the object API got, by verb and by kind, refused ones included.
 */
final class CallCounts {

	private final Map<String, Long> byVerb = new TreeMap<>();

	private final Map<String, Map<String, Long>> byKind = new TreeMap<>();

	private long total;

	private long bytesIn;

	private long bytesOut;

	private long refused;

	private long rateLimited;

	private long lostAnswers;

	void call(StoreVerb verb, Kind kind, int bytes) {
		this.total++;
		this.bytesIn += bytes;
		this.byVerb.merge(verb.name(), 1L, Long::sum);
		this.byKind.computeIfAbsent(kind.collection(), (name) -> new TreeMap<>()).merge(verb.name(), 1L, Long::sum);
	}

	void sent(int bytes) {
		this.bytesOut += bytes;
	}

	void refused() {
		this.refused++;
	}

	void rateLimited() {
		this.rateLimited++;
	}

	void lostAnswer() {
		this.lostAnswers++;
	}

	JsonObject document(int openWatches) {
		JsonObject kinds = new JsonObject();
		this.byKind.forEach((kind, verbs) -> kinds.put(kind, numbers(verbs)));
		return new JsonObject().put("total", this.total)
			.put("byVerb", numbers(this.byVerb))
			.put("byKind", kinds)
			.put("bytesIn", this.bytesIn)
			.put("bytesOut", this.bytesOut)
			.put("refused", this.refused)
			.put("rateLimited", this.rateLimited)
			.put("lostAnswers", this.lostAnswers)
			.put("openWatches", openWatches);
	}

	private static JsonObject numbers(Map<String, Long> values) {
		JsonObject document = new JsonObject();
		values.forEach(document::put);
		return document;
	}

}
