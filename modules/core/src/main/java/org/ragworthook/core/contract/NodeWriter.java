package org.ragworthook.core.contract;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes nodes as JSON without comments and spaces, so that two sections are the same
 * text if they mean the same.
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
			throw new IllegalStateException("a text in memory cannot fail to be written", ex);
		}
		return out.toString();
	}

	private static void write(Node node, JsonGenerator out) throws IOException {
		if (node instanceof Node.Members members) {
			out.writeStartObject();
			for (Map.Entry<String, Node> entry : members.values().entrySet()) {
				out.writeFieldName(entry.getKey());
				write(entry.getValue(), out);
			}
			out.writeEndObject();
		}
		else if (node instanceof Node.Elements elements) {
			out.writeStartArray();
			for (Node element : elements.values()) {
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
			case TEXT -> out.writeString(scalar.text());
			case INTEGER -> out.writeNumber(new BigInteger(scalar.text()));
			case FRACTION -> out.writeNumber(new BigDecimal(scalar.text()));
			case FLAG -> out.writeBoolean(Boolean.parseBoolean(scalar.text()));
			default -> out.writeNull();
		}
	}

}
