package org.ragworthook.core.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One stored segment of the log: a line with the owner's epoch and the time of writing,
 * then one line per claim with the key and the fingerprint of the request.
 *
 * @param epoch the epoch of the owner's lease
 * @param writtenMillis when the segment was written, in milliseconds since the Unix epoch
 * @param claims the fingerprints by key; empty in a barrier
 */
record ClaimSegment(long epoch, long writtenMillis, Map<ClaimKey, String> claims) {

	ClaimSegment {
		Objects.requireNonNull(claims, "claims is null");
	}

	static ClaimSegment barrier(long epoch, long now) {
		return new ClaimSegment(epoch, now, Map.of());
	}

	static ClaimSegment parse(String text) {
		List<String> lines = text.lines().toList();
		String[] header = lines.get(0).split(" ");
		Map<ClaimKey, String> claims = new LinkedHashMap<>();
		for (String line : lines.subList(1, lines.size())) {
			String[] parts = line.split(" ");
			claims.put(new ClaimKey(parts[0]), parts[1]);
		}
		return new ClaimSegment(Long.parseLong(header[0]), Long.parseLong(header[1]), claims);
	}

	String text() {
		List<String> lines = new ArrayList<>();
		lines.add(this.epoch + " " + this.writtenMillis);
		this.claims.forEach((key, fingerprint) -> lines.add(key.hex() + " " + fingerprint));
		return String.join("\n", lines);
	}

}
