package org.ragworthook.core.contract;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes nodes as JSON without comments and whitespace, so that sections that differ only
 * in formatting are equal as strings.
 */
final class NodeWriter {

	private static final JsonFactory FACTORY = new JsonFactory();

	private NodeWriter() {
	}

	static String write(Node node) {
		StringWriter out = new StringWriter();
		try (JsonGenerator generator = FACTORY.createGenerator(out)) {
			write(node, generator);
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O error while writing JSON to a string", ex);
		}
		return out.toString();
	}

	private static void write(Node node, JsonGenerator out) throws IOException {
		if (node instanceof Node.ObjectValue object) {
			out.writeStartObject();
			for (Map.Entry<String, Node> entry : object.values().entrySet()) {
				out.writeFieldName(entry.getKey());
				write(entry.getValue(), out);
			}
			out.writeEndObject();
		}
		else if (node instanceof Node.ArrayValue array) {
			out.writeStartArray();
			for (Node element : array.values()) {
				write(element, out);
			}
			out.writeEndArray();
		}
		else if (node instanceof Node.Scalar scalar) {
			write(scalar, out);
		}
	}

	private static void write(Node.Scalar scalar, JsonGenerator out) throws IOException {
		switch (scalar.type()) {
			case STRING -> out.writeString(scalar.text());
			case INTEGER -> out.writeNumber(new BigInteger(scalar.text()));
			case DECIMAL -> out.writeNumber(new BigDecimal(scalar.text()));
			case BOOLEAN -> out.writeBoolean(Boolean.parseBoolean(scalar.text()));
			default -> out.writeNull();
		}
	}

}
