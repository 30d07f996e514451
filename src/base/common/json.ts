/** Parses JSON that other processes send. */

/** Parses JSON; undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
	try {
		const value: unknown = JSON.parse(text);
		return value;
	} catch {
		return undefined;
	}
}
