package org.ragworthook.core.store;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The labels of an object, by which it can be listed and watched. Used as a selector,
 * labels match each object that carries all of them.
 *
 * @param values the labels by name
 */
public record Labels(Map<String, String> values) {

	private static final Labels EMPTY = new Labels(Map.of());

	/**
	 * Copies the map.
	 */
	public Labels {
		values = Map.copyOf(Objects.requireNonNull(values, "values is null"));
	}

	/**
	 * Returns labels without entries; used as a selector, they match every object.
	 * @return the empty labels
	 */
	public static Labels empty() {
		return EMPTY;
	}

	/**
	 * Returns a single label.
	 * @param name the label's name
	 * @param value the label's value
	 * @return labels with that single entry
	 */
	public static Labels of(String name, String value) {
		return new Labels(Map.of(name, value));
	}

	/**
	 * Returns these labels with one label added or replaced.
	 * @param name the label's name
	 * @param value the label's value
	 * @return the new labels
	 */
	public Labels with(String name, String value) {
		Map<String, String> all = new TreeMap<>(this.values);
		all.put(name, value);
		return new Labels(all);
	}

	/**
	 * Returns whether this selector matches an object with the given labels.
	 * @param labels the labels of an object
	 * @return whether the object carries all labels of this selector
	 */
	public boolean selects(Labels labels) {
		return labels.values().entrySet().containsAll(this.values.entrySet());
	}

}
