/** Decides who may read and end a batch: the organisation that submitted it. */
import {z} from 'zod';
import type {ServerProtocol} from '../../gateway/common/server-protocol.js';
import type {Batch, BatchItem} from './batch.js';

/** On whose behalf a batch is read or ended. */
export type BatchReader
	/** The configuration of the daemon that the caller reached has no organisations. */
	= | {readonly kind: 'any'}
		| {readonly kind: 'ofOrganisation'; readonly name: string};

/** Schema of a reader. */
export const batchReaderSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('any')}),
	z.object({kind: z.literal('ofOrganisation'), name: z.string()}),
]);

/** Whether a reader may have a batch; `hidden` from readers of other organisations, as if it did not exist. */
export type BatchAccess = 'allowed' | 'hidden' | 'unknown';

/**
 * Decides on a reader. The organisation is undefined for a batch that was accepted without organisations or by a daemon of an earlier build; any known key may
 * read it. `reader` is undefined when a daemon of an earlier build asks, which does not check keys.
 */
export function decideAccess(organisation: string | undefined, reader: BatchReader | undefined): BatchAccess {
	if (organisation === undefined || reader?.kind === 'any') {
		return 'allowed';
	}

	if (reader === undefined) {
		return 'unknown';
	}

	return reader.name === organisation ? 'allowed' : 'hidden';
}

/** Removes headers from an item's own ones. `withheld` are lower-case names. */
export function withholdHeaders(headers: Readonly<Record<string, string>>, withheld: readonly string[]): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(headers).filter(([name]) => !withheld.includes(name.toLowerCase())));
}

/** Gives a submitted batch its organisation, without the items' headers that state a caller: they are neither stored nor sent. */
export function assignOrganisation(batch: Batch, organisation: string, withheld: readonly string[]): Batch {
	return {...batch, organisation, items: batch.items.map(item => ({...item, headers: withholdHeaders(item.headers, withheld)}))};
}

/** Builds the headers with which an item is sent. A batch that an earlier build stored may have items with keys of callers, which servers must not get. */
export function buildItemHeaders(batch: Batch, item: BatchItem, protocol: Pick<ServerProtocol, 'credentialHeaders' | 'buildOrganisationHeaders'>, isKeyRequired: boolean): Readonly<Record<string, string>> {
	const {organisation} = batch;
	return {
		...(organisation !== undefined || isKeyRequired ? withholdHeaders(item.headers, protocol.credentialHeaders) : item.headers),
		Host: batch.host,
		...(organisation !== undefined && protocol.buildOrganisationHeaders(organisation)),
	};
}
