package org.ragworthook.standin.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;

/**
 * The platform's balancer before the entries: asks each one again and again whether it is
 * ready, and sends new calls to those that are. It lags by up to its interval.
 */
public final class Balancer implements AutoCloseable {

	private static final long INTERVAL_MILLIS = 250;

	private static final long PATIENCE_MILLIS = 1_000;

	private final Vertx vertx;

	private final HttpClient client;

	private final List<Target> targets;

	private final boolean[] ready;

	private final long timer;

	private volatile List<Target> live;

	private Balancer(Vertx vertx, List<Target> targets) {
		this.vertx = vertx;
		this.targets = List.copyOf(targets);
		this.live = this.targets;
		this.ready = new boolean[targets.size()];
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) PATIENCE_MILLIS));
		this.timer = vertx.setPeriodic(INTERVAL_MILLIS, (id) -> probe());
	}

	/**
	 * Returns a balancer that takes every target for ready until it has asked.
	 * @param vertx runs it
	 * @param targets the entries
	 * @return a new balancer, to be closed
	 */
	public static Balancer of(Vertx vertx, List<Target> targets) {
		return new Balancer(Objects.requireNonNull(vertx, "vertx is null"), targets);
	}

	private void probe() {
		for (int i = 0; i < this.targets.size(); i++) {
			int number = i;
			Target target = this.targets.get(i);
			this.client.request(HttpMethod.GET, target.address().port(), target.address().host(), "/readyz")
				.compose((request) -> request.send())
				.map((response) -> response.statusCode() == 200)
				.timeout(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)
				.otherwise(false)
				.onSuccess((now) -> update(number, now));
		}
	}

	private synchronized void update(int number, boolean now) {
		this.ready[number] = now;
		List<Target> up = new ArrayList<>();
		for (int i = 0; i < this.ready.length; i++) {
			if (this.ready[i]) {
				up.add(this.targets.get(i));
			}
		}
		this.live = up.isEmpty() ? this.targets : List.copyOf(up);
	}

	/**
	 * Returns the entries that take new calls, starting with another one for each number.
	 * @param number the number of the call
	 * @return the targets, the first one first
	 */
	public List<Target> targets(int number) {
		List<Target> rotated = new ArrayList<>(this.live);
		Collections.rotate(rotated, -(number % rotated.size()));
		return rotated;
	}

	@Override
	public void close() {
		this.vertx.cancelTimer(this.timer);
		this.client.close();
	}

}
