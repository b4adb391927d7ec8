/**
 * Stand-in of a model engine: OpenAI-compatible HTTP in front of continuous batching. It
 * knows no priorities, admits in arrival order and generates text that follows from the
 * prompt alone, so that every answer can be checked.
 */
package org.ragworthook.standin.engine;
