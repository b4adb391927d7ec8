package org.ragworthook.standin.engine;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The models and adapters that an engine has loaded, its role, and the orders that it
 * took. With fencing checked, an order with an older token than one already seen is
 * refused; engines that do not check take it.
 */
final class ModelTable {

	private static final int ORDERS_KEPT = 1_000;

	private final Map<String, String> loaded = new TreeMap<>();

	private final Map<String, String> adapters = new TreeMap<>();

	private final JsonArray orders = new JsonArray();

	private final boolean fencingChecked;

	private String role = "both";

	private long highestToken;

	ModelTable(Collection<String> models, boolean fencingChecked) {
		models.forEach((model) -> {
			int at = model.indexOf('@');
			this.loaded.put((at < 0) ? model : model.substring(0, at), (at < 0) ? "1" : model.substring(at + 1));
		});
		this.fencingChecked = fencingChecked;
	}

	boolean serves(String model) {
		return this.loaded.containsKey(model) || this.adapters.containsKey(model);
	}

	/**
	 * Decides whether an order may be carried out, and remembers its token.
	 * @param order the order
	 * @return whether its token is not older than the highest seen, or is not checked
	 */
	boolean admits(JsonObject order) {
		long token = order.getLong("fencing_token", 0L);
		boolean older = token < this.highestToken;
		this.highestToken = Math.max(this.highestToken, token);
		return !(older && this.fencingChecked && order.containsKey("fencing_token"));
	}

	/**
	 * Carries out an order.
	 * @param verb the last part of its path
	 * @param order the order
	 * @throws IllegalArgumentException if it cannot be carried out
	 */
	void apply(String verb, JsonObject order) {
		switch (verb) {
			case "load_model" -> this.loaded.put(required(order, "model"), order.getString("version", "1"));
			case "unload_model" -> remove(this.loaded, required(order, "model"));
			case "load_lora_adapter" ->
				this.adapters.put(required(order, "lora_name"), order.getString("lora_path", ""));
			case "unload_lora_adapter" -> remove(this.adapters, required(order, "lora_name"));
			case "set_role" -> changeRole(required(order, "role"));
			default -> throw new IllegalArgumentException("no such order: " + verb);
		}
		this.orders.add(order.copy().put("verb", verb));
		if (this.orders.size() > ORDERS_KEPT) {
			this.orders.remove(0);
		}
	}

	private void changeRole(String newRole) {
		this.role = newRole;
	}

	private static void remove(Map<String, String> from, String name) {
		if (from.remove(name) == null) {
			throw new IllegalArgumentException(name + " is not loaded");
		}
	}

	private static String required(JsonObject order, String field) {
		String value = order.getString(field);
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException(field + " is missing");
		}
		return value;
	}

	JsonObject models() {
		JsonArray data = new JsonArray();
		this.loaded.forEach((name, version) -> data.add(model(name).put("version", version)));
		this.adapters.forEach((name, path) -> data.add(model(name).put("adapter", true).put("root", path)));
		return new JsonObject().put("object", "list").put("data", data).put("role", this.role);
	}

	private static JsonObject model(String name) {
		return new JsonObject().put("id", name).put("object", "model").put("created", 0).put("owned_by", "stand-in");
	}

	JsonObject orders() {
		return new JsonObject().put("orders", this.orders.copy())
			.put("highest_fencing_token", this.highestToken)
			.put("role", this.role);
	}

}
