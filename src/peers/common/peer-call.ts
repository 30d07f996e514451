/** Converts the outcome of a call to a peer into a result. */
import {Code, ConnectError} from '@connectrpc/connect';
import {err, ok, type Result} from 'neverthrow';
import {
	createNotRun, createOutcomeUnknown, type Failure, type FailureCode, type Origin,
} from '../../base/common/failure.js';
import type {PeerAddress} from './peers.js';

const failureCodeByConnectCode: Readonly<Partial<Record<Code, FailureCode>>> = {
	[Code.Aborted]: 'aborted',
	[Code.Canceled]: 'aborted',
	[Code.DeadlineExceeded]: 'deadlineExceeded',
	[Code.FailedPrecondition]: 'unsupported',
	[Code.InvalidArgument]: 'invalid',
	[Code.NotFound]: 'notFound',
	[Code.PermissionDenied]: 'unauthorized',
	[Code.ResourceExhausted]: 'overloaded',
	[Code.Unimplemented]: 'unsupported',
};

/** Codes with which a peer refuses a call before it has any effect. */
const notRunCodes: ReadonlySet<FailureCode> = new Set<FailureCode>(['unsupported', 'invalid', 'notFound', 'unauthorized', 'overloaded']);

/** Formats a peer's address for failures. */
export function formatPeer(peer: PeerAddress): string {
	return `${peer.address}:${peer.peerPort}`;
}

function toFailure(error: unknown, origin: Origin): Failure {
	const connectError = ConnectError.from(error);
	const code = failureCodeByConnectCode[connectError.code] ?? 'unavailable';
	return notRunCodes.has(code)
		? createNotRun(code, origin, connectError.rawMessage)
		: createOutcomeUnknown(code, origin, connectError.rawMessage);
}

/** Awaits a call to a peer. After a failure, the effect is unknown unless the peer refused the call with one of `notRunCodes`. */
export async function callPeer<T>(step: string, peer: PeerAddress, call: () => Promise<T>): Promise<Result<T, Failure>> {
	try {
		return ok(await call());
	} catch (error) {
		return err(toFailure(error, {step, peer: formatPeer(peer)}));
	}
}
