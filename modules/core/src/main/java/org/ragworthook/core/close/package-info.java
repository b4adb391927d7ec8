/**
 * Closes the resources of a component together.
 */
package org.ragworthook.core.close;
