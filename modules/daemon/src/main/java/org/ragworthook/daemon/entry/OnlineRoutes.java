package org.ragworthook.daemon.entry;

import java.util.Objects;
import java.util.function.Function;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.ragworthook.core.contract.Model;
import org.ragworthook.core.contract.Service;

/**
 * The HTTP routes of online requests: the OpenAI-compatible API for text generation, and
 * plain services by path.
 */
final class OnlineRoutes {

	private static final String SERVICES_PREFIX = "/services/";

	private final RequestReader reader;

	private final OnlineResources resources;

	private final int requestBytes;

	OnlineRoutes(RequestReader reader, OnlineResources resources, int requestBytes) {
		this.reader = Objects.requireNonNull(reader, "reader is null");
		this.resources = Objects.requireNonNull(resources, "resources is null");
		this.requestBytes = requestBytes;
	}

	void mount(Router router) {
		router.get("/v1/models").handler(this::models);
		for (String generation : new String[] { "/v1/chat/completions", "/v1/completions" }) {
			router.post(generation).handler(body()).handler((routing) -> run(routing, this.reader::generation));
		}
		router.route(SERVICES_PREFIX + "*").handler(body()).handler((routing) -> run(routing, this::plain));
	}

	private BodyHandler body() {
		return BodyHandler.create(false).setBodyLimit(this.requestBytes);
	}

	private OnlineRequest plain(RoutingContext routing) {
		String serviceAndPath = routing.request().uri().substring(SERVICES_PREFIX.length());
		int slash = serviceAndPath.indexOf('/');
		String name = (slash < 0) ? serviceAndPath : serviceAndPath.substring(0, slash);
		return this.reader.plain(routing, name, (slash < 0) ? "/" : serviceAndPath.substring(slash));
	}

	private void run(RoutingContext routing, Function<RoutingContext, OnlineRequest> read) {
		OnlineRequest request = read.apply(routing);
		new OnlineExchange(this.resources, request, routing, Vertx.currentContext()).start();
	}

	private void models(RoutingContext routing) {
		this.reader.account(routing.request());
		JsonArray data = new JsonArray();
		for (Service service : this.reader.contract().services()) {
			for (Model model : service.models()) {
				data.add(new JsonObject().put("id", model.name())
					.put("object", "model")
					.put("created", 0)
					.put("owned_by", service.name()));
			}
		}
		routing.response()
			.putHeader("Content-Type", "application/json")
			.end(new JsonObject().put("object", "list").put("data", data).encode());
	}

}
