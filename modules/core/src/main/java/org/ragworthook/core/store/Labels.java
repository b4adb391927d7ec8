package org.ragworthook.core.store;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Labels of an object, by which it can be listed and watched. As a selector it matches
 * each object that carries all of its labels.
 *
 * @param values the labels by name
 */
public record Labels(Map<String, String> values) {

	private static final Labels EMPTY = new Labels(Map.of());

	/**
	 * Copies the labels.
	 */
	public Labels {
		values = Map.copyOf(Objects.requireNonNull(values, "values is null"));
	}

	/**
	 * Returns no labels; as a selector it matches every object.
	 * @return the empty labels
	 */
	public static Labels empty() {
		return EMPTY;
	}

	/**
	 * Returns a single label.
	 * @param name the label's name
	 * @param value the label's value
	 * @return the label
	 */
	public static Labels of(String name, String value) {
		return new Labels(Map.of(name, value));
	}

	/**
	 * Returns these labels and one more.
	 * @param name the further label's name
	 * @param value the further label's value
	 * @return the labels together
	 */
	public Labels with(String name, String value) {
		Map<String, String> all = new TreeMap<>(this.values);
		all.put(name, value);
		return new Labels(all);
	}

	/**
	 * Tells whether an object with the given labels is selected.
	 * @param labels the labels of an object
	 * @return whether they contain all labels of this selector
	 */
	public boolean selects(Labels labels) {
		return labels.values().entrySet().containsAll(this.values.entrySet());
	}

}
