package org.ragworthook.objectapi;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;

/**
 * Turns objects into the JSON documents of the object API and back. The value is the
 * field {@code data}, the stamp of the write an annotation.
 */
public final class ObjectDocuments {

	/** The group and version of the system's kinds. */
	public static final String API_VERSION = "ragworthook.org/v1";

	/** The annotation that bears the stamp of the newest write. */
	public static final String STAMP = "ragworthook.org/stamp";

	private ObjectDocuments() {
	}

	/**
	 * Returns the path of a collection.
	 * @param namespace the namespace that holds the system's objects
	 * @param kind the collection
	 * @return an absolute path
	 */
	public static String path(String namespace, Kind kind) {
		return "/apis/" + API_VERSION + "/namespaces/" + namespace + "/" + kind.collection();
	}

	/**
	 * Returns the document of an object that is to be written.
	 * @param key which object
	 * @param draft its content
	 * @return a document without a version
	 */
	public static JsonObject document(ObjectKey key, Draft draft) {
		JsonObject labels = new JsonObject();
		new TreeMap<>(draft.labels().values()).forEach(labels::put);
		JsonObject metadata = new JsonObject().put("name", key.name())
			.put("labels", labels)
			.put("annotations", new JsonObject().put(STAMP, draft.stamp()));
		return new JsonObject().put("apiVersion", API_VERSION)
			.put("kind", kindName(key.kind()))
			.put("metadata", metadata)
			.put("data", draft.text());
	}

	/**
	 * Returns the document of an object that is to replace one version.
	 * @param key which object
	 * @param draft its content
	 * @param version the version that it replaces, or the version that it has
	 * @return a document with that version
	 */
	public static JsonObject document(ObjectKey key, Draft draft, long version) {
		JsonObject document = document(key, draft);
		document.getJsonObject("metadata").put("resourceVersion", Long.toString(version));
		return document;
	}

	/**
	 * Returns the document of a stored object.
	 * @param stored the object
	 * @return its document
	 */
	public static JsonObject document(Stored stored) {
		return document(stored.key(), stored.draft(), stored.version());
	}

	/**
	 * Returns the document of a listing.
	 * @param kind the collection
	 * @param listing the objects
	 * @return a list document
	 */
	public static JsonObject document(Kind kind, Listing listing) {
		JsonArray items = new JsonArray();
		listing.objects().forEach((stored) -> items.add(document(stored)));
		return new JsonObject().put("apiVersion", API_VERSION)
			.put("kind", kindName(kind) + "List")
			.put("metadata", new JsonObject().put("resourceVersion", Long.toString(listing.version())))
			.put("items", items);
	}

	/**
	 * Reads what a write puts into an object.
	 * @param document a document of the object API
	 * @return the content
	 */
	public static Draft draft(JsonObject document) {
		JsonObject metadata = document.getJsonObject("metadata");
		Map<String, String> labels = new TreeMap<>();
		metadata.getJsonObject("labels", new JsonObject())
			.forEach((label) -> labels.put(label.getKey(), (String) label.getValue()));
		String stamp = metadata.getJsonObject("annotations", new JsonObject()).getString(STAMP, "");
		return new Draft(document.getString("data", ""), new Labels(labels), stamp);
	}

	/**
	 * Reads the version that a document names.
	 * @param document a document or list of the object API
	 * @return the version, or 0 if it names none
	 */
	public static long version(JsonObject document) {
		return Long.parseLong(document.getJsonObject("metadata").getString("resourceVersion", "0"));
	}

	/**
	 * Reads an object.
	 * @param kind the collection that it came from
	 * @param document its document
	 * @return the object
	 */
	public static Stored stored(Kind kind, JsonObject document) {
		String name = document.getJsonObject("metadata").getString("name");
		return new Stored(ObjectKey.of(kind, name), version(document), draft(document));
	}

	/**
	 * Reads a listing.
	 * @param kind the collection that it came from
	 * @param document a list document
	 * @return the listing
	 */
	public static Listing listing(Kind kind, JsonObject document) {
		return document.getJsonArray("items", new JsonArray())
			.stream()
			.map(JsonObject.class::cast)
			.map((item) -> stored(kind, item))
			.collect(Collectors.collectingAndThen(Collectors.toList(),
					(objects) -> new Listing(objects, version(document))));
	}

	/**
	 * Returns the document of an event of a watch.
	 * @param event the event
	 * @return the document, one line when encoded
	 */
	public static JsonObject document(WatchEvent event) {
		return new JsonObject().put("type", event.gone() ? "DELETED" : "MODIFIED")
			.put("object", document(event.object()));
	}

	/**
	 * Returns a label selector as the object API takes it.
	 * @param selector labels that objects must carry
	 * @return the selector, such as {@code a=b,c=d}, empty for no labels
	 */
	public static String selector(Labels selector) {
		return new TreeMap<>(selector.values()).entrySet()
			.stream()
			.map((label) -> label.getKey() + "=" + label.getValue())
			.collect(Collectors.joining(","));
	}

	/**
	 * Reads a label selector.
	 * @param text the selector, such as {@code a=b,c=d}
	 * @return the labels that objects must carry
	 */
	public static Labels selector(String text) {
		Labels labels = Labels.empty();
		for (String part : text.split(",")) {
			int equals = part.indexOf('=');
			if (equals > 0) {
				labels = labels.with(part.substring(0, equals), part.substring(equals + 1));
			}
		}
		return labels;
	}

	private static String kindName(Kind kind) {
		String name = kind.name();
		return name.charAt(0) + name.substring(1).toLowerCase(java.util.Locale.ROOT);
	}

}
