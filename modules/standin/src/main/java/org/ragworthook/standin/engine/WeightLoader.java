package org.ragworthook.standin.engine;

import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.StandInServer;

/**
 * Fetches weights from the weight store before a model or adapter is loaded.
 */
final class WeightLoader {

	private static final Set<String> LOADS = Set.of("load_model", "load_lora_adapter");

	private final HttpClient client;

	private final int port;

	WeightLoader(Vertx vertx, int port) {
		this.client = vertx.createHttpClient();
		this.port = port;
	}

	/**
	 * Fetches what an order needs.
	 * @param verb the order's verb
	 * @param order the order
	 * @return completes once the weights are at hand; fails if the store refuses
	 */
	Future<Void> fetch(String verb, JsonObject order) {
		if (this.port == 0 || !LOADS.contains(verb)) {
			return Future.succeededFuture();
		}
		String name = order.getString("model", order.getString("lora_name", ""));
		String path = "/weights/" + name + "/" + order.getString("version", "1");
		return this.client.request(HttpMethod.GET, this.port, StandInServer.HOST, path)
			.compose((request) -> request.send())
			.compose((response) -> response.body()
				.compose((body) -> (response.statusCode() == 200) ? Future.succeededFuture()
						: Future.failedFuture("weight store answered " + response.statusCode())));
	}

}
