package org.ragworthook.standin.platform;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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

}
