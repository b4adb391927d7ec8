package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Validates the lines of one file, each by itself and against the lines before it.
 */
final class LineValidator {

	private static final int MAX_MODELS = 32;

	private final LongHashSet customIds = new LongHashSet();

	private final Set<String> models = new TreeSet<>();

	private final Function<BatchItem, String> itemValidator;

	private String endpoint = "";

	LineValidator(Function<BatchItem, String> itemValidator) {
		this.itemValidator = Objects.requireNonNull(itemValidator, "itemValidator is null");
	}

	/**
	 * Validates a line.
	 * @param number the line number, from 1
	 * @param line the line
	 * @throws org.ragworthook.core.error.JobException if the line is invalid
	 */
	void validate(int number, String line) {
		BatchItem item = BatchItem.parse(number, line);
		if (!this.customIds.add(hash(item.customId()))) {
			throw BatchItem.invalidLine(number, "repeats the custom_id '" + item.customId() + "'", null);
		}
		if (this.endpoint.isEmpty()) {
			this.endpoint = item.url();
		}
		if (!this.endpoint.equals(item.url())) {
			throw BatchItem.invalidLine(number, "goes to " + item.url() + ", the first to " + this.endpoint, null);
		}
		String fault = this.itemValidator.apply(item);
		if (!fault.isEmpty()) {
			throw BatchItem.invalidLine(number, fault, null);
		}
		if (this.models.size() < MAX_MODELS) {
			this.models.add(item.model());
		}
	}

	private static long hash(String customId) {
		byte[] bytes = customId.getBytes(StandardCharsets.UTF_8);
		long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0);
		return hash[0];
	}

	List<String> models() {
		return this.models.stream().filter((model) -> !model.isEmpty()).toList();
	}

	String endpoint() {
		return this.endpoint;
	}

}
