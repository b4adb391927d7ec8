package org.ragworthook.standin.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntFunction;

import io.vertx.core.json.JsonObject;

/**
 * Calls that must not run twice, made one after the other. Calls with an even number
 * carry an idempotency key and are sent again to the next target when the connection
 * breaks; the others are sent once only.
 */
public final class BookingLoad {

	private static final int MOST_RESENDS = 3;

	private final IntFunction<List<Target>> targets;

	private final String path;

	private final List<Booking> bookings = new ArrayList<>();

	private int number;

	/**
	 * Creates a load.
	 * @param targets the entries that take a call, by its number
	 * @param path the path of the call
	 */
	public BookingLoad(IntFunction<List<Target>> targets, String path) {
		this.targets = Objects.requireNonNull(targets, "targets is null");
		this.path = Objects.requireNonNull(path, "path is null");
	}

	/**
	 * Makes the next call and waits for its end.
	 * @return how it ended
	 */
	public synchronized Booking next() {
		int own = this.number++;
		String key = "booking-" + own;
		boolean keyed = own % 2 == 0;
		String body = new JsonObject().put("key", key).encode();
		Map<String, String> headers = keyed ? Map.of("Content-Type", "application/json", "Idempotency-Key", key)
				: Map.of("Content-Type", "application/json");
		RestClient.Reply reply = new RestClient.Reply(0, "");
		for (int sent = 0; sent <= (keyed ? MOST_RESENDS : 0) && reply.status() == 0; sent++) {
			Target target = this.targets.apply(own + sent).get(0);
			reply = RestClient.of(target.address(), target.key()).send("POST", this.path, headers, body);
		}
		Booking booking = new Booking(key, keyed, reply);
		this.bookings.add(booking);
		return booking;
	}

	/**
	 * Returns the calls so far.
	 * @return how they ended
	 */
	public synchronized List<Booking> bookings() {
		return List.copyOf(this.bookings);
	}

	/**
	 * A call that must not run twice.
	 *
	 * @param key which call it was
	 * @param keyed whether it carried an idempotency key
	 * @param reply how it ended
	 */
	public record Booking(String key, boolean keyed, RestClient.Reply reply) {

		/**
		 * Tells whether the caller was told that the call was not run.
		 * @return whether the error says so
		 */
		public boolean toldNotRun() {
			return this.reply.text().contains("_NOT_RUN_");
		}

	}

}
