/** The call between daemons that fetches the configuration. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {PeerAddress} from '../../peers/common/peers.js';

/** A version of the configuration object as sent between daemons. */
export type ConfigurationBody = {
	readonly version: number;
	/** The object's value; empty when the peer has no newer version. */
	readonly value: string;
};

/** Fetches the configuration from peers. */
export abstract class ConfigurationTransport {
	/** Requests a version newer than `ownVersion` from a peer, preferably `wantedVersion`, for which the peer may wait before it responds. */
	abstract fetch(peer: PeerAddress, wantedVersion: number, ownVersion: number): Promise<Result<ConfigurationBody, Failure>>;
}
