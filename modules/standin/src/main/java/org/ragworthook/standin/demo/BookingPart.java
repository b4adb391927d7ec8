package org.ragworthook.standin.demo;

import java.util.List;
import java.util.Objects;

import io.vertx.core.json.JsonObject;
import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.standin.load.Balancer;
import org.ragworthook.standin.load.BookingLoad;
import org.ragworthook.standin.load.RestClient;

/**
 * Calls that must not run twice, all through the demonstration.
 */
final class BookingPart {

	private static final double PAUSE_SECONDS = 0.1;

	private final Fleet fleet;

	private final BookingLoad load;

	private final Thread thread = new Thread(this::run, "bookings");

	private volatile boolean stopping;

	BookingPart(Fleet fleet, Balancer balancer) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.load = new BookingLoad(balancer::targets, fleet.plan().deployment().bookingPath());
	}

	void start() {
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private void run() {
		while (!this.stopping) {
			this.load.next();
			Script.pause(PAUSE_SECONDS);
		}
	}

	/**
	 * Has each plain service lose answers after it has executed the calls.
	 * @param answers how many
	 */
	void loseAnswers(int answers) {
		this.fleet.plan()
			.sidecars(ServiceType.PLAIN)
			.forEach((sidecar) -> RestClient.of(sidecar.upstream().orElseThrow(), "")
				.post("/control/faults", new JsonObject().put("loseNext", answers)));
	}

	void stop() {
		this.stopping = true;
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void judge(PromiseTable table) {
		List<BookingLoad.Booking> bookings = this.load.bookings();
		JsonObject executions = this.fleet.executions();
		long confirmed = bookings.stream().filter((booking) -> booking.reply().ok()).count();
		long keyed = bookings.stream().filter((booking) -> booking.keyed() && booking.reply().ok()).count();
		long twice = bookings.stream().filter((booking) -> executions.getInteger(booking.key(), 0) > 1).count();
		long lost = bookings.stream()
			.filter((booking) -> booking.reply().ok() && executions.getInteger(booking.key(), 0) != 1)
			.count();
		table.add("a non-idempotent call runs at most once", keyed > 0 && confirmed > keyed && twice == 0 && lost == 0,
				bookings.size() + " calls, " + confirmed + " confirmed (" + keyed + " with a key), " + twice
						+ " run twice, " + lost + " confirmed and not run once");
		List<BookingLoad.Booking> refused = bookings.stream().filter(BookingLoad.Booking::toldNotRun).toList();
		long untrue = refused.stream().filter((booking) -> executions.getInteger(booking.key(), 0) > 0).count();
		table.add("a refusal that says 'not run' is true", untrue == 0,
				refused.size() + " calls told not run, " + untrue + " of them had run");
	}

}
