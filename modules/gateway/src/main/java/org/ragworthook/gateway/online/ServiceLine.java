package org.ragworthook.gateway.online;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * The requests that wait for a slot of one service, in order of arrival.
 *
 * @param <T> the type of a request
 */
final class ServiceLine<T> {

	private final Deque<T> waiting = new ArrayDeque<>();

	/**
	 * Adds a request at the end.
	 * @param request the request
	 */
	void add(T request) {
		this.waiting.addLast(Objects.requireNonNull(request, "request is null"));
	}

	/**
	 * Takes a request out.
	 * @param request the request
	 * @return whether it waited
	 */
	boolean remove(T request) {
		return this.waiting.remove(request);
	}

	/**
	 * Offers the requests in turn until one finds no room.
	 * @param place places a request and tells whether it found room
	 */
	void drain(Predicate<T> place) {
		Iterator<T> next = this.waiting.iterator();
		while (next.hasNext()) {
			if (!place.test(next.next())) {
				return;
			}
			next.remove();
		}
	}

	/**
	 * Returns how many wait.
	 * @return the length
	 */
	int size() {
		return this.waiting.size();
	}

}
