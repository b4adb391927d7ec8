package org.ragworthook.objectapi;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.InstanceList;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.objectapi.http.HttpClients;

/**
 * The platform's list of instances, read from its endpoint slices. An endpoint that the
 * system cannot read, such as one without a port named {@code link}, is left out. Each
 * call has a connection of its own, for the reason given at {@link HttpObjectStore}.
 */
public final class EndpointSliceList implements InstanceList, AutoCloseable {

	private static final EventLog LOG = EventLog.of(EndpointSliceList.class);

	/** The label that names the service of a slice's endpoints. */
	public static final String SERVICE = "kubernetes.io/service-name";

	/** The label that names the role of a slice's endpoints. */
	public static final String ROLE = "ragworthook.org/role";

	/** The label that names the region of a slice's endpoints. */
	public static final String REGION = "ragworthook.org/region";

	/** The name of the port that takes links. */
	public static final String LINK_PORT = "link";

	private final HttpClient client;

	private final PlatformSettings settings;

	private EndpointSliceList(Vertx vertx, PlatformSettings settings) {
		this.settings = settings;
		this.client = HttpClients.create(vertx,
				new HttpClientOptions().setDefaultHost(settings.address().host())
					.setDefaultPort(settings.address().port())
					.setConnectTimeout((int) settings.connectTimeout().toMillis()),
				new PoolOptions());
	}

	/**
	 * Returns a client of the list.
	 * @param vertx runs the client
	 * @param settings where the platform is and how long to wait for it
	 * @return a new client, to be closed
	 */
	public static EndpointSliceList of(Vertx vertx, PlatformSettings settings) {
		return new EndpointSliceList(Objects.requireNonNull(vertx, "vertx is null"),
				Objects.requireNonNull(settings, "settings is null"));
	}

	/**
	 * Returns the path of the list.
	 * @param namespace the namespace of the system
	 * @return an absolute path
	 */
	public static String path(String namespace) {
		return "/apis/discovery.k8s.io/v1/namespaces/" + namespace + "/endpointslices";
	}

	@Override
	public CompletableFuture<List<Instance>> instances() {
		return this.client.request(HttpMethod.GET, path(this.settings.namespace()))
			.compose((request) -> request.send()
				.compose((response) -> (response.statusCode() == 200)
						? HttpClients.body(response, HttpObjectStore.MAX_ANSWER_BYTES)
						: Future.failedFuture("status " + response.statusCode()))
				.timeout(this.settings.callTimeout().toMillis(), TimeUnit.MILLISECONDS)
				.onFailure((failure) -> request.reset()))
			.map((body) -> read(body.toJsonObject()))
			.recover((failure) -> Future.failedFuture(new StoreException(ErrorCode.STORE_UNAVAILABLE,
					"list of instances could not be read: " + failure.getMessage(), failure)))
			.toCompletionStage()
			.toCompletableFuture();
	}

	@Override
	public void close() {
		this.client.close();
	}

	private static List<Instance> read(JsonObject list) {
		return objects(list.getJsonArray("items")).flatMap((slice) -> readable(() -> slice(slice))).toList();
	}

	/**
	 * Reads a part of the list, which is left out if it cannot be read: one odd endpoint
	 * would hide all instances.
	 * @param reader reads the part
	 * @return the instances of the part, none if it cannot be read
	 */
	private static Stream<Instance> readable(Supplier<Stream<Instance>> reader) {
		try {
			return reader.get().toList().stream();
		}
		catch (RuntimeException ex) {
			LOG.debug("instance_unusable", "error", ex);
			return Stream.empty();
		}
	}

	private static Stream<Instance> slice(JsonObject slice) {
		JsonObject labels = slice.getJsonObject("metadata", new JsonObject()).getJsonObject("labels", new JsonObject());
		Optional<Role> role = role(labels.getString(ROLE, ""));
		Optional<Integer> port = objects(slice.getJsonArray("ports"))
			.filter((candidate) -> LINK_PORT.equals(candidate.getString("name")))
			.map((candidate) -> candidate.getInteger("port"))
			.findFirst();
		if (role.isEmpty() || port.isEmpty()) {
			return Stream.empty();
		}
		return objects(slice.getJsonArray("endpoints"))
			.flatMap((endpoint) -> readable(() -> Stream.of(instance(endpoint, role.get(), labels, port.get()))));
	}

	private static Instance instance(JsonObject endpoint, Role role, JsonObject labels, int port) {
		String host = endpoint.getJsonArray("addresses").getString(0);
		String id = endpoint.getJsonObject("targetRef", new JsonObject()).getString("name", host + ":" + port);
		FailureDomain failureDomain = FailureDomain.of(labels.getString(REGION, ""), endpoint.getString("zone", ""));
		JsonObject conditions = endpoint.getJsonObject("conditions", new JsonObject());
		boolean leaving = Boolean.TRUE.equals(conditions.getBoolean("terminating"));
		String service = (role == Role.ENTRY) ? "" : labels.getString(SERVICE, "");
		return new Instance(id, role, service, failureDomain, new Address(host, port), leaving);
	}

	private static Optional<Role> role(String label) {
		return Stream.of(Role.values())
			.filter((role) -> role.name().toLowerCase(Locale.ROOT).equals(label))
			.findFirst();
	}

	private static Stream<JsonObject> objects(JsonArray array) {
		return (array != null) ? array.stream().filter(JsonObject.class::isInstance).map(JsonObject.class::cast)
				: Stream.empty();
	}

}
