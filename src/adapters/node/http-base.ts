/** Makes the base of calls to a process from the address that it or another process stated. */
import {err, ok, type Result} from 'neverthrow';
import {isIpAddress, isPort} from '../../base/common/address.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';

/** Returns the base; fails if the address is none, so that nothing is looked up or thrown for an odd entry. */
export function createHttpBase(step: string, {ip, port}: {readonly ip: string; readonly port: number}): Result<URL, Failure> {
	return isIpAddress(ip) && isPort(port)
		? ok(new URL(`http://${ip}:${port}`))
		: err(createNotRun('invalid', {step, peer: `${ip}:${port}`}, 'the address is not an IP address with a port'));
}
