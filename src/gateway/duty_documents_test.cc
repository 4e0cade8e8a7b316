#include "gateway/duty_documents.h"

#include <criterion/criterion.h>

using namespace mimosahub;

Test(duty_documents, a_lease_is_read_as_it_was_written)
{
    const DutyLeaseRecord record{InstanceId("d1"), 1'796'000'000'123, std::uint64_t{1} << 60U, 9};
    cr_assert(readDutyLease(writeDutyLease(record)).value() == record);
    for (const auto *odd : {"", "[]", "{}", R"({"holder":"a","incarnation":"1","token":"x","renewal":"1"})"}) {
        cr_assert(not readDutyLease(odd).ok(), "%s", odd);
    }
}

Test(duty_documents, agreed_counts_are_read_as_they_were_written)
{
    const AgreedUsage agreed{353'445'120, {{WorkspaceId("a"), 0}, {WorkspaceId("b"), 412}}};
    const auto read = readAgreedUsage(writeAgreedUsage(agreed));
    cr_assert(read.ok() && read->window == agreed.window && read->counts == agreed.counts);
    for (const auto *odd :
         {"", "[]", R"({"window":1})", R"({"window":1,"counts":{"a":"x"}})", R"({"window":1,"counts":{"a":-4}})"}) {
        cr_assert(not readAgreedUsage(odd).ok(), "%s", odd);
    }
}

// The lease is read without the agreed counts, which are large.
Test(duty_documents, keys_of_agreed_counts_sort_before_that_of_the_lease)
{
    cr_assert(isAgreedUsageKey(agreedUsageKey(77)));
    cr_assert(agreedUsageKey(77) < "agreed~" && "agreed~" < kDutyLeaseKey);
    cr_assert(agreedUsageKey(1) != agreedUsageKey(2));
}
