package org.ragworthook.standin.platform;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.objectapi.EndpointSliceList;
import org.ragworthook.standin.StandInServer;

/**
 * The list of instances as endpoint slices, one slice for each instance because each has
 * a port of its own. What {@code POST /control/instances} tells shows in the list after a
 * lag.
 */
public final class InstanceListApi extends StandInServer {

	private final Duration initialLag;

	private final Map<String, Instance> visible = new TreeMap<>();

	private long lagMillis;

	/**
	 * Creates an empty list.
	 * @param port where it is to listen, or 0 for any free port
	 * @param lag after which time a change shows
	 */
	public InstanceListApi(int port, Duration lag) {
		super(port);
		this.initialLag = Objects.requireNonNull(lag, "lag is null");
	}

	@Override
	protected void routes(Router router) {
		this.lagMillis = this.initialLag.toMillis();
		router.post("/control/instances").handler(this::change);
		router.post("/control/lag").handler(this::changeLag);
		router.get("/apis/discovery.k8s.io/v1/namespaces/:namespace/endpointslices").handler(this::list);
	}

	private void changeLag(RoutingContext context) {
		this.lagMillis = body(context).getLong("millis");
		answer(context, 200, new JsonObject().put("millis", this.lagMillis));
	}

	private void change(RoutingContext context) {
		JsonObject change = body(context);
		String state = change.getString("state", "live");
		Runnable effect = "gone".equals(state) ? () -> this.visible.remove(change.getString("id"))
				: () -> this.visible.put(change.getString("id"), instance(change, "leaving".equals(state)));
		if (this.lagMillis > 0) {
			this.vertx.setTimer(this.lagMillis, (id) -> effect.run());
		}
		else {
			effect.run();
		}
		answer(context, 202, change);
	}

	private static Instance instance(JsonObject change, boolean leaving) {
		Role role = Role.valueOf(change.getString("role").toUpperCase(Locale.ROOT));
		FailureDomain failureDomain = FailureDomain.of(change.getString("region"), change.getString("failureDomain"));
		return new Instance(change.getString("id"), role, change.getString("service", ""), failureDomain,
				Address.parse(change.getString("address")), leaving);
	}

	private void list(RoutingContext context) {
		JsonArray items = new JsonArray();
		this.visible.values().forEach((instance) -> items.add(slice(instance)));
		answer(context, 200,
				new JsonObject().put("apiVersion", "discovery.k8s.io/v1")
					.put("kind", "EndpointSliceList")
					.put("items", items));
	}

	private static JsonObject slice(Instance instance) {
		String service = instance.service().isEmpty() ? "ragworthook-entry" : instance.service();
		JsonObject labels = new JsonObject().put(EndpointSliceList.SERVICE, service)
			.put(EndpointSliceList.ROLE, instance.role().name().toLowerCase(Locale.ROOT))
			.put(EndpointSliceList.REGION, instance.failureDomain().region());
		JsonObject conditions = new JsonObject().put("ready", !instance.leaving())
			.put("serving", true)
			.put("terminating", instance.leaving());
		JsonObject endpoint = new JsonObject().put("addresses", new JsonArray().add(instance.link().host()))
			.put("conditions", conditions)
			.put("zone", instance.failureDomain().name())
			.put("targetRef", new JsonObject().put("kind", "Pod").put("name", instance.id()));
		JsonObject port = new JsonObject().put("name", EndpointSliceList.LINK_PORT)
			.put("protocol", "TCP")
			.put("port", instance.link().port());
		return new JsonObject().put("metadata", new JsonObject().put("name", instance.id()).put("labels", labels))
			.put("addressType", "IPv4")
			.put("endpoints", new JsonArray().add(endpoint))
			.put("ports", new JsonArray().add(port));
	}

}
