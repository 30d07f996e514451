/** Checks of network addresses that other processes state. */

const IPV4 = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/;
const UNSPECIFIED = '0.0.0.0';
const MAXIMUM_PORT = 65_535;

/** Whether a text is an IPv4 address in dotted decimal form, to which a connection can be opened without a look-up. */
export function isIpAddress(text: string): boolean {
	return IPV4.test(text) && text !== UNSPECIFIED;
}

/** Whether a number is a port that can be connected to. */
export function isPort(number: number): boolean {
	return Number.isInteger(number) && number > 0 && number <= MAXIMUM_PORT;
}
