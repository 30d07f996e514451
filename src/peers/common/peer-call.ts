/** Turns the outcome of a call to a peer into a result. */
import {Code, ConnectError} from '@connectrpc/connect';
import {err, ok, type Result} from 'neverthrow';
import {
	createNotRun, createOutcomeUnknown, type Failure, type FailureCode, type Origin,
} from '../../base/common/failure.js';
import type {PeerAddress} from './peers.js';

const codes: Readonly<Partial<Record<Code, FailureCode>>> = {
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

/** Refusals that a peer gives before it does anything. */
const refusals: ReadonlySet<FailureCode> = new Set<FailureCode>(['unsupported', 'invalid', 'notFound', 'unauthorized', 'overloaded']);

/** Names a peer in failures. */
export function formatPeer(peer: PeerAddress): string {
	return `${peer.address}:${peer.peerPort}`;
}

function toFailure(error: unknown, origin: Origin): Failure {
	const connectError = ConnectError.from(error);
	const code = codes[connectError.code] ?? 'unavailable';
	return refusals.has(code)
		? createNotRun(code, origin, connectError.rawMessage)
		: createOutcomeUnknown(code, origin, connectError.rawMessage);
}

/** Awaits a call to a peer. The effect is unknown unless the peer itself refused. */
export async function callPeer<T>(step: string, peer: PeerAddress, call: () => Promise<T>): Promise<Result<T, Failure>> {
	try {
		return ok(await call());
	} catch (error) {
		return err(toFailure(error, {step, peer: formatPeer(peer)}));
	}
}
