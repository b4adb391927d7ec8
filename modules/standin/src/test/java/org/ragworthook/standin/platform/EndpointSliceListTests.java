package org.ragworthook.standin.platform;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.objectapi.EndpointSliceList;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.standin.ControlClient;
import org.ragworthook.standin.StandInServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EndpointSliceList} against {@link InstanceListApi}.
 */
class EndpointSliceListTests {

	private static final String SIDECARS = "{\"metadata\":{\"labels\":{\"ragworthook.org/role\":\"sidecar\"}},";

	private static final Duration UNREACHED = Duration.ofHours(1);

	private Vertx vertx;

	private ControlClient control;

	private EndpointSliceList list;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
		int port = new InstanceListApi(0, Duration.ZERO).deploy(this.vertx)
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		this.control = new ControlClient(port);
		this.list = EndpointSliceList.of(this.vertx, PlatformSettings.of(new Address(StandInServer.HOST, port)));
	}

	@AfterEach
	void stop() {
		this.list.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private void tell(String state) {
		this.control.post("/control/instances",
				new JsonObject().put("id", "runner-1")
					.put("role", "sidecar")
					.put("service", "measuring-desk")
					.put("region", "georgia")
					.put("failureDomain", "atl-a")
					.put("address", "127.0.0.1:7101")
					.put("state", state));
	}

	private static Instance runner(boolean leaving) {
		return new Instance("runner-1", Role.SIDECAR, "measuring-desk", FailureDomain.of("georgia", "atl-a"),
				new Address("127.0.0.1", 7101), leaving);
	}

	@Test
	void shouldFollowAnInstanceThroughItsLife() {
		assertThat(this.list.instances().join()).isEmpty();
		tell("live");
		assertThat(this.list.instances().join()).containsExactly(runner(false));
		tell("leaving");
		assertThat(this.list.instances().join()).containsExactly(runner(true));
		tell("gone");
		assertThat(this.list.instances().join()).isEmpty();
	}

	// The list lags: an instance has gone and the list still shows it as live.
	@Test
	void shouldStillShowWhatHasJustGone() {
		tell("live");
		this.control.post("/control/lag", new JsonObject().put("millis", UNREACHED.toMillis()));
		tell("gone");
		assertThat(this.list.instances().join()).containsExactly(runner(false));
	}

	/**
	 * Guards against one endpoint of another writer that hides all instances.
	 * @param odd a slice, or a part of the list that is none
	 */
	@ParameterizedTest
	@ValueSource(strings = { "7", "null", "{\"metadata\":7}", "{\"metadata\":{\"labels\":[]}}",
			"{\"metadata\":{\"labels\":{\"ragworthook.org/role\":7}}}",
			SIDECARS + "\"ports\":[{\"name\":\"link\",\"port\":70000}],\"endpoints\":[{\"addresses\":[\"::1\"]}]}",
			SIDECARS + "\"ports\":[{\"name\":\"link\",\"port\":\"x\"}],\"endpoints\":[]}",
			SIDECARS + "\"ports\":[7,{\"name\":\"link\",\"port\":1}],\"endpoints\":[null,{},{\"addresses\":[]}]}",
			SIDECARS + "\"ports\":{},\"endpoints\":[]}" })
	void shouldListTheOtherInstancesBesideOddOnes(String odd) {
		String sound = SIDECARS + "\"ports\":[{\"name\":\"link\",\"port\":7101}],\"endpoints\":"
				+ "[{\"addresses\":[]},{\"addresses\":[\"127.0.0.1\"],\"targetRef\":{\"name\":\"runner-1\"}}]}";
		HttpServer server = this.vertx.createHttpServer()
			.requestHandler((request) -> request.response().end("{\"items\":[" + odd + "," + sound + "," + odd + "]}"));
		int port = server.listen(0, StandInServer.HOST).toCompletionStage().toCompletableFuture().join().actualPort();
		EndpointSliceList listed = EndpointSliceList.of(this.vertx,
				PlatformSettings.of(new Address(StandInServer.HOST, port)));
		assertThat(listed.instances().join().stream().map(Instance::id).toList()).containsExactly("runner-1");
		listed.close();
	}

}
