/**
 * Gathers resources and closes them together.
 */
package org.ragworthook.core.close;
