#include "peer/quarantine_codec.h"

#include "peer/wire_values.h"

#include <algorithm>

namespace mimosahub
{

namespace
{

std::int64_t ageOf(TimePoint at, TimePoint now)
{
    return toMicroseconds(now - at);
}

/// The time \a ageUs before \a now; nothing that is reported lies in the future.
TimePoint timeOf(std::int64_t ageUs, TimePoint now)
{
    return now - std::max(Duration::zero(), fromMicroseconds(ageUs));
}

template<typename Builder>
void writeContent(const ContentId &content, Builder out)
{
    out.setService(content.service.str());
    out.setPart(content.id);
    out.setKind(static_cast<std::uint8_t>(content.kind));
}

template<typename Reader>
ContentId readContent(Reader in)
{
    const auto kind = in.getKind();
    constexpr auto kMaxKind = static_cast<std::uint8_t>(ContentKind::Request);
    return {readId<ServiceId>(in.getService()), std::string(in.getPart().cStr(), in.getPart().size()),
            kind <= kMaxKind ? static_cast<ContentKind>(kind) : ContentKind::SharedPart};
}

void writeQuarantine(const Quarantine &quarantine, TimePoint now, wire::Quarantine::Builder out)
{
    writeContent(quarantine.content, out);
    auto with = out.initWith(static_cast<unsigned>(quarantine.with.size()));
    for (unsigned i = 0; i < quarantine.with.size(); ++i) {
        with.set(i, quarantine.with[i]);
    }
    out.setNumber(quarantine.number);
    out.setEnded(quarantine.ended);
    out.setTrials(quarantine.trials);
    out.setAnsweredBefore(quarantine.answeredBefore);
    out.setCrashes(quarantine.crashes);
    out.setSinceAgeUs(ageOf(quarantine.since, now));
    out.setChangedAgeUs(ageOf(quarantine.changedAt, now));
}

Quarantine readQuarantine(wire::Quarantine::Reader in, TimePoint now)
{
    Quarantine quarantine;
    quarantine.content = readContent(in);
    for (const auto part : in.getWith()) {
        quarantine.with.emplace_back(part.cStr(), part.size());
    }
    std::sort(quarantine.with.begin(), quarantine.with.end());
    quarantine.number = in.getNumber();
    quarantine.ended = in.getEnded();
    quarantine.trials = in.getTrials();
    quarantine.answeredBefore = in.getAnsweredBefore();
    quarantine.crashes = in.getCrashes();
    quarantine.since = timeOf(in.getSinceAgeUs(), now);
    quarantine.changedAt = timeOf(in.getChangedAgeUs(), now);
    return quarantine;
}

} // namespace

void writeQuarantines(const QuarantineMessage &message, TimePoint now, wire::QuarantineMessage::Builder out)
{
    const auto &news = message.news;
    out.setDigest(message.digest);
    auto crashes = out.initCrashes(static_cast<unsigned>(news.crashes.size()));
    for (unsigned i = 0; i < news.crashes.size(); ++i) {
        writeContent(news.crashes[i].content, crashes[i]);
        crashes[i].setRequest(news.crashes[i].request);
        crashes[i].setEndpoint(news.crashes[i].endpoint.endpoint.str());
        crashes[i].setStartedAtMs(news.crashes[i].endpoint.startedAtMs);
        crashes[i].setSentAgeUs(ageOf(news.crashes[i].sentAt, now));
        crashes[i].setCrashAgeUs(ageOf(news.crashes[i].crashedAt, now));
    }
    auto answers = out.initAnswers(static_cast<unsigned>(news.answers.size()));
    for (unsigned i = 0; i < news.answers.size(); ++i) {
        writeContent(news.answers[i].content, answers[i]);
        answers[i].setAgeUs(ageOf(news.answers[i].answeredAt, now));
    }
    auto quarantines = out.initQuarantines(static_cast<unsigned>(news.quarantines.size()));
    for (unsigned i = 0; i < news.quarantines.size(); ++i) {
        writeQuarantine(news.quarantines[i], now, quarantines[i]);
    }
}

QuarantineMessage readQuarantines(wire::QuarantineMessage::Reader in, TimePoint now)
{
    QuarantineMessage message;
    message.digest = in.getDigest();
    for (const auto crash : in.getCrashes()) {
        message.news.crashes.push_back({readContent(crash),
                                        {readId<EndpointId>(crash.getEndpoint()), crash.getStartedAtMs()},
                                        timeOf(crash.getSentAgeUs(), now),
                                        timeOf(crash.getCrashAgeUs(), now),
                                        crash.getRequest()});
    }
    for (const auto answer : in.getAnswers()) {
        message.news.answers.push_back({readContent(answer), timeOf(answer.getAgeUs(), now)});
    }
    for (const auto quarantine : in.getQuarantines()) {
        message.news.quarantines.push_back(readQuarantine(quarantine, now));
    }
    return message;
}

} // namespace mimosahub
